"""Log lines of the listeners of an edge or a core process that are opened late."""

from __future__ import annotations

from loguru import logger

from rosechute.proxy.core.listener_supervisor import ListenerEvent, ListenerFailed


def log_listener_event(event: ListenerEvent) -> None:
    """Log that a listener can't be opened for now, or that it was opened after all."""
    if isinstance(event, ListenerFailed):
        logger.warning(
            "cannot listen, retrying listener={} attempts={} error={}", event.listener, event.attempts, event.error
        )
    else:
        logger.info("listening after retries listener={} attempts={}", event.listener, event.attempts)
