"""Start, signals and exit code of the sidecar."""

from __future__ import annotations

import signal

# SIGHUP asks for a fresh look at the file, which is yet to be read: until the loop listens, it must not kill.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from rosechute import native

if __name__ == "__main__":
    native.prefer()  # before anything is loaded that may be compiled

import asyncio
import gc
import os
import sys
from collections.abc import Callable, Mapping

import uvloop

from rosechute.proxy.core.log import LOG, SINK
from rosechute.sidecar.config import Config, ConfigError, load
from rosechute.sidecar.reload import fixed, read_again
from rosechute.sidecar.sidecar import Policy, Sidecar

Policies = Callable[[Config], Policy]


async def serve(sidecar_env: Mapping[str, str], policies: Policies | None = None) -> None:
    """Run one sidecar until SIGTERM or SIGINT; `policies` makes what an operator's file adds."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    again = asyncio.Semaphore(0)  # counts: each signal is answered with a file taken or turned down
    loop.add_signal_handler(signal.SIGHUP, again.release)
    config = load(sidecar_env)
    policy = policies(config) if policies is not None else None
    sidecar = Sidecar(config, loop, policy)
    await sidecar.start()
    gc.freeze()  # what is loaded by now stays: no collection needs to walk through it again
    LOG.info(
        "process.listening", name=config.name, address=":".join(map(str, config.listen)), compiled=native.in_force()
    )
    reloading = loop.create_task(reload(sidecar, config, sidecar_env, again, policy))
    await stop.wait()
    reloading.cancel()
    await sidecar.stop()


async def reload(
    sidecar: Sidecar,
    config: Config,
    env: Mapping[str, str],
    again: asyncio.Semaphore,
    policy: Policy | None = None,
) -> None:
    """Take over the files at each SIGHUP. Where either can't be used, what was stays in force, of both."""
    while True:
        await again.acquire()
        try:
            # In a thread: reading and parsing must not hold up requests.
            new = await asyncio.to_thread(read_again, env, config)
            prepared = await asyncio.to_thread(policy.prepare, new) if policy is not None else None
        except Exception as error:
            sidecar.turned_down()
            for reason in getattr(error, "problems", (error,)):
                LOG.error("reload.old_configuration_kept", reason=reason)
            continue
        rest = fixed(new, config)
        LOG.info(
            "reload.taken",
            discovery=":".join(map(str, new.discovery)),
            **({"restart_needed_for": ", ".join(rest)} if rest else {}),
        )
        sidecar.reconfigure(new, prepared)
        config = new


def run(env: Mapping[str, str], policies: Policies | None = None) -> int:
    """Run one sidecar; the exit code."""
    try:
        uvloop.run(serve(env, policies))
    except ConfigError as error:
        LOG.error("process.configuration", reason=error)
        return 2
    except OSError as error:
        LOG.error("process.listen", reason=error)
        return 2
    finally:
        SINK.flush()
    return 0


def main() -> int:
    """Entry point of `python -m rosechute.sidecar`."""
    return run(dict(os.environ))


if __name__ == "__main__":
    sys.exit(main())
