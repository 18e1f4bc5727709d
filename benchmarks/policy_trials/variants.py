"""What may be switched off or changed, one mechanism at a time, as replacements in the sources."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

AS_IT_IS = "as-it-is"
ROUTING = "rosechute/routing"


@dataclass(frozen=True, slots=True)
class Replacement:
    """A text that stands exactly once in a file, and what stands there in the variant."""

    file: str
    old: str
    new: str

    def apply(self, root: Path) -> None:
        """Change the file below a folder. Raises ValueError where the text is not there exactly once."""
        path = root / self.file
        text = path.read_text(encoding="utf-8")
        if text.count(self.old) != 1:
            raise ValueError(f"{self.file}: {text.count(self.old)} times: {self.old!r}")
        path.write_text(text.replace(self.old, self.new), encoding="utf-8")


def _constant(file: str, name: str, value: str, now: str) -> tuple[Replacement, ...]:
    return (Replacement(file, f"\n{name} = {now}", f"\n{name} = {value}"),)


def _line(file: str, old: str, new: str) -> tuple[Replacement, ...]:
    return (Replacement(file, old, new),)


VARIANTS: Mapping[str, tuple[Replacement, ...]] = {
    AS_IT_IS: (),
    "one-choice": _line(f"{ROUTING}/pick.py", "return self._less_loaded(now, first, server)", "return first"),
    "no-known-prefix": _line(
        f"{ROUTING}/sticky.py", "if observed is not None:", "if observed is not None and False:"
    ),
    "no-likely-prefix": _line(
        f"{ROUTING}/sticky.py",
        "for server, chance in self._predicted_servers(now, pool, pending):",
        "for server, chance in ():",
    ),
    "no-second-likely": _constant(f"{ROUTING}/sticky.py", "SECOND_CACHED_CHANCE", "0.0", "0.3"),
    "reading-weight-1": _constant(f"{ROUTING}/sticky.py", "PREFILL_WEIGHT", "1.0", "4.0"),
    "reading-weight-2": _constant(f"{ROUTING}/sticky.py", "PREFILL_WEIGHT", "2.0", "4.0"),
    "reading-weight-8": _constant(f"{ROUTING}/sticky.py", "PREFILL_WEIGHT", "8.0", "4.0"),
    "reading-weight-16": _constant(f"{ROUTING}/sticky.py", "PREFILL_WEIGHT", "16.0", "4.0"),
    "reading-weight-32": _constant(f"{ROUTING}/sticky.py", "PREFILL_WEIGHT", "32.0", "4.0"),
    "no-holder-preference": _constant(f"{ROUTING}/sticky.py", "OTHER_SERVER_MARGIN_S", "0.0", "0.03"),
    "no-ordinary-margin": _constant(f"{ROUTING}/sticky.py", "LOAD_ONLY_MARGIN_S", "0.0", "0.02"),
    "no-zone-tie-break": _constant(f"{ROUTING}/pick.py", "OTHER_ZONE_PENALTY_S", "0.0", "0.002"),
    "no-urgency": _line(
        f"{ROUTING}/router.py", "if admission.is_uncongested(", "if True or admission.is_uncongested("
    ),
    "no-level": _constant(f"{ROUTING}/admission_control.py", "DELAY_FACTOR_DECREASE", "1.0", "0.93"),
    "no-starvation-guard": _constant(f"{ROUTING}/admission_control.py", "STARVATION_RATIO", "0.0", "0.6"),
    "no-less-waiting-pick": _line(
        f"{ROUTING}/router.py", "other = self._picker.shortest_queue(now, pool, pending)", "other = None"
    ),
    "no-shorter-target-bound": _constant(f"{ROUTING}/admission_control.py", "SHORTER_TARGET_RATIO", "1e9", "1.5"),
    "no-lateness": _constant(f"{ROUTING}/server.py", "EXCESS_WEIGHT", "0.0", "0.4"),
    "no-silence": _constant(f"{ROUTING}/server.py", "MIN_UNRESPONSIVE_S", "1e9", "0.25"),
    "no-ejection-draws": _constant(f"{ROUTING}/pick.py", "ERROR_RATE_POWER", "0", "4"),
    "no-failing-bound": _constant(f"{ROUTING}/sticky.py", "MAX_ERROR_RATE", "1.1", "0.12"),
    "no-early-refusal": _line(
        f"{ROUTING}/router.py",
        "        return self._cannot_meet_target(now, service, pending)\n",
        "        return False\n",
    ),
    "refuse-at-first-look": _line(
        f"{ROUTING}/router.py",
        "if not pending.is_deadline_extended and not self._cannot_meet_target(now, service, pending):",
        "if False and not self._cannot_meet_target(now, service, pending):",
    ),
    "no-spread-retry-after": _line(
        f"{ROUTING}/router.py",
        "longest_s * (0.75 + 0.5 * self._draw()))",
        "longest_s)",
    ),
    "first-budget-1": _line(
        f"{ROUTING}/server.py",
        "self.concurrency_limit = min(self.max_concurrency, max(tuning.initial_limit, self.slots // edges))",
        "self.concurrency_limit = min(self.max_concurrency, 1)",
    ),
    "no-learning-down": _line(
        f"{ROUTING}/server.py", "            self._decrease_limit(sent_at, result)", "            pass"
    ),
    "no-repeats-first": _line(
        f"{ROUTING}/router.py",
        "        sent = self._try_dispatch(now, service, pending)  # it arrived before all queued ones\n"
        "        if sent is not None:\n            return [sent]\n",
        "",
    ),
    "no-rate-leases": _constant("rosechute/control_plane/quota_policy.py", "LEASED_SHARE", "0.0", "0.65"),
    "no-emergency-rate": _constant("rosechute/control_plane/quota_policy.py", "EMERGENCY_SHARE", "0.0", "0.06"),
    "no-noted-holders": _line(
        "rosechute/coordination/leader_lease.py",
        "LeadershipGained(self.term, self._rate_lease_owners.known_edges())",
        "LeadershipGained(self.term, None)",
    ),
    "no-quota-prediction": _line(f"{ROUTING}/token_cache.py", "        if wait_s > MAX_WAIT_S:", "        if False:"),
    "no-quota-priority": _line(
        "rosechute/data_plane/plane.py",
        "request.on_quota_decision, admitted.priority)",
        "request.on_quota_decision, 0)",
    ),
}
