"""How owners change from one split to the next without both being used at once. Pure."""

from __future__ import annotations

from collections.abc import Callable

from notchjunction.fleet.envelope import OutgoingMessage, Sender
from notchjunction.fleet.quotas.messages import PhaseAnnouncement
from notchjunction.fleet.quotas.phase import PHASE_TABLE, Phase, PhaseEvent
from notchjunction.fleet.quotas.plan import StaleSplitError
from notchjunction.fleet.quotas.state import OwnerPhase, QuotaState

ANNOUNCE_INTERVAL_S = 1.0  # between an owner's announcements while a split changes, or after its start
OWNER_POLL_INTERVAL_S = 5.0  # a node polls each owner once in this time, in a small fleet; only for `age`
# That time is at least this for each node of the fleet, so an owner answers at most ten polls a second.
OWNER_POLL_PER_NODE_S = 0.1


def on_announcement(state: QuotaState, sender: Sender, message: PhaseAnnouncement) -> list[OutgoingMessage]:
    """Record another owner's phase, and reply with this node's if that is requested."""
    if sender.name in state.other_owners():
        state.owner_phases[sender.name] = OwnerPhase(message.revision, message.phase)
    if state.phase is Phase.STARTING:
        agrees = _agrees(state, OwnerPhase(message.revision, message.phase))
        state.fault = None if agrees else _stale_split(state, sender, message.revision)
    if message.wants_reply and state.is_owner():
        return [OutgoingMessage(sender.name, _announcement(state, wants_reply=False))]
    return []


def advance_phase(state: QuotaState, now: float) -> list[OutgoingMessage]:
    """Enter the next phases whose conditions are met; announce the phase while the split is changing."""
    for event, holds in _CONDITIONS:
        transition = PHASE_TABLE.find(state.phase, event)
        if transition is not None and holds(state, now):
            state.phase = transition.next_state
    is_due = now - state.announced_at >= ANNOUNCE_INTERVAL_S
    if not state.is_owner() or state.phase is Phase.GROWN or not is_due:
        return []
    state.announced_at = now
    return [OutgoingMessage(name, _announcement(state, wants_reply=True)) for name in state.other_owners()]


def poll_owner(state: QuotaState, now: float, nodes: int) -> list[OutgoingMessage]:
    """Poll one owner after the other for its phase, so that each is polled within a bounded time."""
    owners = state.other_owners()
    interval = max(OWNER_POLL_INTERVAL_S, OWNER_POLL_PER_NODE_S * nodes)
    if not owners or now - state.polled_at < interval / len(owners):
        return []
    state.polled_at = now
    state.polls += 1
    return [OutgoingMessage(owners[state.polls % len(owners)], _announcement(state, wants_reply=True))]


def all_owners_shrunk(state: QuotaState) -> bool:
    """Return whether every other owner of the previous split has shrunk to this one, or gone further."""
    before = state.plan.before
    if before is None:
        return True
    names = [name for name, count in before.owners.items() if count > 0 and name not in before.ended]
    unknown = OwnerPhase(0, 0)
    others = (state.owner_phases.get(name, unknown) for name in names if name != state.node)
    own = state.plan.split.revision
    return all(revision > own or (revision == own and phase >= Phase.SHRUNK) for revision, phase in others)


def _announcement(state: QuotaState, wants_reply: bool) -> PhaseAnnouncement:
    return PhaseAnnouncement(state.plan.name, state.plan.split.revision, state.phase, wants_reply)


def _stale_split(state: QuotaState, sender: Sender, revision: int) -> StaleSplitError:
    return StaleSplitError(
        f"{sender.name} uses revision {revision}, this node started with "
        f"{state.plan.split.revision}, or without its `before`",
        f"fleet.limits {state.plan.name}",
        "give this node the configuration in force, and restart it",
    )


def _agrees(state: QuotaState, other: OwnerPhase) -> bool:
    """Return whether another owner's split is the one that this node started with, or the one before it."""
    before, own = state.plan.before, state.plan.split.revision
    if before is not None:
        return other.revision in (own, before.revision)
    return other.revision == own and other.phase not in (Phase.SHRINKING, Phase.SHRUNK)


def _is_confirmed(state: QuotaState) -> bool:
    """Return whether another owner has announced the same split, and none a different one."""
    # Guards against a node that starts with an old configuration after the others have changed the split.
    if not state.other_owners():
        return True  # a sole owner needs no confirmation
    announced = state.owner_phases.values()
    return bool(announced) and all(_agrees(state, phase) for phase in announced)


def _quarantine_over(state: QuotaState, now: float) -> bool:
    return not state.is_owner() or (now >= state.quarantine_ends and _is_confirmed(state))


def _fits_smaller_split(state: QuotaState, _now: float) -> bool:
    return state.own_in_use + state.lent + len(state.reserved) <= state.usable()


def _others_shrunk(state: QuotaState, _now: float) -> bool:
    return not state.is_owner() or all_owners_shrunk(state)


# In the order of the phases, so that a node can pass through several of them in one call.
_CONDITIONS: tuple[tuple[PhaseEvent, Callable[[QuotaState, float], bool]], ...] = (
    (PhaseEvent.QUARANTINE_OVER, _quarantine_over),
    (PhaseEvent.FITS_SMALLER_SPLIT, _fits_smaller_split),
    (PhaseEvent.ALL_OWNERS_SHRUNK, _others_shrunk),
)
