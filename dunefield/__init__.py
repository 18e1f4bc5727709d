"""dunefield: the decisions of a sidecar balancer for service-to-service calls."""

from dunefield.interface import (
    Accept,
    Action,
    Alarm,
    Begun,
    Bounds,
    CloseIdle,
    Defer,
    Directory,
    Echo,
    Entry,
    Event,
    Fail,
    Fetch,
    Hangup,
    Heard,
    How,
    Note,
    Probe,
    Reconfigure,
    Refuse,
    RequestClass,
    Response,
    Retract,
    RetryBudget,
    Settings,
    SettingsError,
    Submit,
    Subscribe,
    Tell,
)
from dunefield.rules import Balancer

__all__ = [
    "Accept", "Action", "Alarm", "Balancer", "Begun", "Bounds", "CloseIdle", "Defer", "Directory", "Echo", "Entry",
    "Event", "Fail", "Fetch", "Hangup", "Heard", "How", "Note", "Probe", "Reconfigure", "Refuse",
    "RequestClass", "Response", "Retract", "RetryBudget", "Settings", "SettingsError", "Submit", "Subscribe", "Tell",
]
__version__ = "0.2.0"
