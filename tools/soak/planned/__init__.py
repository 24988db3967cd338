"""A soak of planned work only: proxies are stopped, reloaded and changed while clients go on."""
