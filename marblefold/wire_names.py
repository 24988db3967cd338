"""The names in the external interface of the mesh.

The only module that repeats deploy/wire.toml: the fields and values of bodies, the
calls, the headers and the variable that names the config file.  No other module
spells out these names.
"""

# Fields of a configuration.
CONFIG_VERSION = "config-version"
ROUTE_LIST = "route-list"
SERVICE_LIST = "service-list"
LIMITS = "limits"
NAME = "name"
HOST_NAME = "host-name"
PATH_PREFIX = "path-prefix"
ROUTE_TYPE = "route-type"
TIMEOUT_MS = "timeout-ms"
TARGET_LATENCY_MS = "target-latency-ms"
PRIORITY = "priority"
UPSTREAM = "upstream"
WEIGHTED_TARGETS = "weighted-targets"
WEIGHT = "weight"
MAX_ATTEMPTS = "max-attempts"
ALLOWED_REGIONS = "allowed-regions"
HEALTH_CHECK_PATH = "health-check-path"
MAX_CONNECTIONS = "max-connections"
COLD_START_S = "cold-start-s"
COLDSTART_PER_S = "coldstart-per-s"
MAX_HEADER_BYTES = "max-header-bytes"
MAX_BODY_BYTES = "max-body-bytes"
HEADER_TIMEOUT_MS = "header-timeout-ms"
IDLE_TIMEOUT_MS = "idle-timeout-ms"

# Route types of a configuration.
READ_ONLY = "read_only"
MUTATING = "mutating"
UPLOAD = "upload"

# Fields and states of a target's heartbeat.
ADDRESS = "address"
ZONE = "zone"
CAPACITY_SLOTS = "capacity-slots"
STATE = "state"
COLD_REMAINING_MS = "cold-remaining-ms"
CALL_SEQUENCE = "call-sequence"
READY = "ready"
DRAINING = "draining"

# Fields of the platform's target list.
INSTANCE_LIST = "instance-list"
NEXT_PAGE_TOKEN = "next-page-token"
PAGE_TOKEN = "page-token"

# Fields of the response to a rejected call.
REASON = "reason"

# HTTP calls: method and path, or path template.
READINESS_CALL = ("GET", "/-/readiness")
INSTANCES_CALL = ("GET", "/instances")
CONFIGURATION_PATH = "/mesh/configuration"
TARGET_PATH = "/mesh/targets/{}"
EVACUATION_PATH = "/mesh/evacuations/{}"
STATE_PATH = "/mesh/state"
PARTNERS_PATH = "/mesh/partners"
PARTNER_PATH = "/mesh/partners/{}"
EXPORTS_PATH = "/mesh/exports/{}"
OWNERS_PATH = "/mesh/owners"
MAINTENANCE_PATH = "/mesh/maintenance"
FLOORS_PATH = "/mesh/maintenance/floors"
WINDOW_PATH = "/mesh/maintenance/windows/{}"
TRACES_PATH = "/mesh/traces"
TRACE_PATH = "/mesh/traces/{}"
DOUBLES_PATH = "/mesh/doubles"
SNAPSHOT_PATH = "/mesh/snapshot"
REHEARSAL_PATH = "/mesh/rehearsal"
HISTORY_PATH = "/mesh/history"
VERSION_PATH = "/mesh/history/{}"

# HTTP headers.
ATTEMPT_ID = b"Attempt-Id"
DEADLINE_MS = b"Deadline-Ms"
SERVER_SEAL = b"Server-Seal"
EXPECTED_INSTANCE = b"Expected-Instance"
SERVER_LOAD = b"Server-Load"
NOT_EXECUTED = b"Not-Executed"
RETRY_AFTER = b"Retry-After"
CALLER_SERVICE = b"Caller-Service"
INSTANCE_ID = b"Instance-Id"
COLD_MS = b"Cold-Ms"

# The environment variable that names the config file of a node.
CONFIG_FILE_VARIABLE = "MARBLEFOLD_NODE_FILE"
