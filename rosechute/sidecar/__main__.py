"""Entry point of the sidecar: start, signals and exit code."""

from __future__ import annotations

from rosechute import process_start

if __name__ == "__main__":
    process_start.prepare()  # before anything else is loaded

from rosechute import native

if __name__ == "__main__":
    native.install_finder()  # before any module is imported that may be compiled

import asyncio
import functools
import gc
import os
import signal
import sys
from collections.abc import Callable, Mapping

import uvloop

from rosechute.proxy.core.daemon_thread import run_in_daemon_thread
from rosechute.proxy.core.log import LOG
from rosechute.proxy.core.log_stream import replace_standard_streams
from rosechute.proxy.core.process_signals import handle_signals
from rosechute.sidecar.config import Config, ConfigError, load
from rosechute.sidecar.reload import read_again, restart_keys
from rosechute.sidecar.sidecar import Policy, Sidecar

REPLACEMENT_TIMEOUT_S = 1.0  # a configuration that is unusable for longer at the start is not being replaced
RETRY_S = 0.02

Policies = Callable[[Config], Policy]


async def serve(sidecar_env: Mapping[str, str], policies: Policies | None = None) -> None:
    """Run one sidecar until SIGTERM or SIGINT; `policies` creates the policy of the operator's file."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    reload_requests = asyncio.Semaphore(0)  # counts signals: each one leads to a reload or a rejection
    actions = {signal.SIGTERM: stop.set, signal.SIGINT: stop.set, signal.SIGHUP: reload_requests.release}
    with handle_signals(loop, actions):
        await _serve_until(stop, reload_requests, sidecar_env, policies)


async def _serve_until(
    stop: asyncio.Event, reload_requests: asyncio.Semaphore, sidecar_env: Mapping[str, str], policies: Policies | None
) -> None:
    loop = asyncio.get_running_loop()
    config = await _load_at_start(sidecar_env)
    policy = policies(config) if policies is not None else None
    sidecar = Sidecar(config, loop, policy)
    await sidecar.start()
    gc.freeze()  # objects created so far are permanent: garbage collections skip them
    if sidecar.is_listening():
        LOG.info(
            "process.listening",
            name=config.name,
            address=":".join(map(str, config.listen)),
            compiled=native.is_compiled(),
        )
    reloading = loop.create_task(reload(sidecar, config, sidecar_env, reload_requests, policy))
    await stop.wait()
    reloading.cancel()
    await sidecar.stop()


async def _load_at_start(env: Mapping[str, str]) -> Config:
    """Load the configuration, with retries while its file may be being replaced.

    Raises:
        ConfigError: It is unusable.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + REPLACEMENT_TIMEOUT_S
    while loop.time() < until:
        try:
            return load(env)
        except ConfigError:
            await asyncio.sleep(RETRY_S)
    return load(env)


async def reload(
    sidecar: Sidecar,
    config: Config,
    env: Mapping[str, str],
    reload_requests: asyncio.Semaphore,
    policy: Policy | None = None,
) -> None:
    """Reload the configuration and the operator's file at each SIGHUP. If either is invalid, both stay unchanged."""
    while True:
        await reload_requests.acquire()
        try:
            # In a thread: reading and parsing must not delay requests.
            new, prepared = await run_in_daemon_thread(functools.partial(_read, env, config, policy), "reload")
        except Exception as error:
            sidecar.config_rejected()
            for reason in getattr(error, "problems", (error,)):
                LOG.error("reload.old_configuration_kept", reason=reason)
            continue
        restart_needed = restart_keys(new, config)
        LOG.info(
            "reload.taken",
            discovery=":".join(map(str, new.discovery)),
            **({"restart_needed_for": ", ".join(restart_needed)} if restart_needed else {}),
        )
        try:
            sidecar.reconfigure(new, prepared)
        except Exception:  # a fault in the program must not end the reloads to come
            LOG.error("reload.broken", exc_info=True)
        config = new


def _read(env: Mapping[str, str], config: Config, policy: Policy | None) -> tuple[Config, object]:
    """Read the configuration again, and the operator's file for it."""
    new = read_again(env, config)
    return new, policy.prepare(new) if policy is not None else None


def run(env: Mapping[str, str], policies: Policies | None = None) -> int:
    """Run one sidecar; return the exit code. From here on, the log's writer writes the standard streams."""
    replace_standard_streams()
    try:
        uvloop.run(serve(env, policies))
    except ConfigError as error:
        LOG.error("process.configuration", reason=error)
        return 2
    except OSError as error:
        LOG.error("process.listen", reason=error)
        return 2
    return 0


def main() -> int:
    """Entry point of `python -m rosechute.sidecar`."""
    return run(dict(os.environ))


if __name__ == "__main__":
    sys.exit(main())
