"""Orders that reach a stopping proxy 3.0 to 3.3 s after its SIGTERM are cut by its exit."""

import asyncio
import time

from review.parts2.case import TROUBLE, Case, main

WORK_MS = 2550
SERVICES = ("dispatch",)


async def play(case: Case) -> list[str]:
    fleet = case.fleet
    machine = fleet.sides[0]
    program = fleet.proxies[machine.name]
    sent: dict[str, float] = {}
    answers: dict[str, tuple[float, object]] = {}
    ends = asyncio.create_task(_end(case, program)) if TROUBLE else None
    began = time.monotonic()
    if TROUBLE:
        case.record.note(f"SIGTERM to the proxy of {machine.name}")

    async def ready_checks() -> None:
        # The platform asks once a second.
        while time.monotonic() - began < 3.0:
            is_ready = await case.is_ready(machine)
            case.record.note(f"platform: {machine.name} is {'ready' if is_ready else 'not ready'}")
            await asyncio.sleep(1.0)

    async def order(number: int) -> None:
        attempt = f"{0xB00C0000 + number:016x}"
        sent[attempt] = time.monotonic()
        case.record.note(f"order {attempt} sent to {machine.name}")
        answer = await case.request(
            machine, "POST", f"/mutating/dispatch/w{WORK_MS}", attempt, 5000, b"load=oak"
        )
        answers[attempt] = (time.monotonic(), answer)
        case.record.note(
            f"order {attempt} answered {answer.status}"
            + ("" if answer.is_whole else f", not whole: {answer.reason}")
        )

    checks = asyncio.create_task(ready_checks())
    tasks = []
    for number in range(12):
        at = 0.4 + 0.2 * number if number < 4 else 3.03 + 0.025 * (number - 4)
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        tasks.append(asyncio.create_task(order(number)))
    await asyncio.gather(*tasks)
    await checks
    if ends is not None:
        await ends
    breaks = []
    for attempt, at in sent.items():
        runs = case.runs_of(attempt)
        answered_at, answer = answers[attempt]
        for run in runs:
            case.record.note(
                f"order {attempt}: run by {run.target} from {run.began - began:.2f} to "
                f"{(run.ended or 0) - began:.2f} s after the SIGTERM, {run.end or 'at work'}"
            )
        if runs and not answer.is_whole and at - began > 3.0:
            breaks.append(
                f"LOST: order {attempt}, sent {at - began:.2f} s after the SIGTERM, was run, and "
                f"its connection was closed {answered_at - began:.2f} s after it without an answer"
            )
    return breaks


async def _end(case: Case, program) -> None:
    seconds, was_killed = await program.stop()
    case.record.note(
        f"the proxy ended {seconds:.2f} s after the SIGTERM"
        + (" (killed by the platform)" if was_killed else " by itself")
    )


if __name__ == "__main__":
    main(__file__, SERVICES, play)
