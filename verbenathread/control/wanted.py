"""The wanted state of each upstream.

Orders set the state to reach, not a step towards it.
"""

from collections.abc import Iterable

from verbenathread.schema import commands_pb2

MAX_UPSTREAMS = 16_384
MAX_ITEMS = 64
ACTIONS = ('load', 'unload', 'role', 'drain', 'forget')
ROLES = ('prefill', 'decode', 'both')
SWITCH_VALUES = ('on', 'off')


def slot_of(action: str, subject: str) -> str:
    """Return the part of the wanted state that an order sets.

    An order replaces the earlier ones for the same slot.
    """
    if action in {'load', 'unload'}:
        return f'model:{subject}'
    return action


def order_problem(action: str, subject: str) -> str:
    """Return why an order is invalid, or an empty string."""
    if action not in ACTIONS:
        return f'no such action; use one of {", ".join(ACTIONS)}'
    if action in {'load', 'unload'} and not subject:
        return 'name the model, adapter or version to load or unload'
    if action == 'role' and subject not in ROLES:
        return f'the role must be one of {", ".join(ROLES)}'
    if action == 'drain' and subject not in SWITCH_VALUES:
        return 'write on or off after drain'
    return ''


class WantedOrders:
    """Wanted state by upstream; the state machine is its only writer."""

    def __init__(self) -> None:
        """Start without orders."""
        self._wanted_by_upstream: dict[str, commands_pb2.WantedImage] = {}

    def get(self, upstream_id: str) -> commands_pb2.WantedImage | None:
        """Return the wanted state of one upstream, or None."""
        return self._wanted_by_upstream.get(upstream_id)

    def is_full(self, upstream_id: str) -> bool:
        """Return whether the table has no room for another order."""
        wanted = self._wanted_by_upstream.get(upstream_id)
        if wanted is None:
            return len(self._wanted_by_upstream) >= MAX_UPSTREAMS
        return len(wanted.items) >= MAX_ITEMS

    def put(self, order: commands_pb2.OrderCommand, fencing: int) -> None:
        """Set one slot of an upstream with a new fencing number."""
        if order.action == 'forget':
            self._wanted_by_upstream.pop(order.upstream_id, None)
            return
        wanted = self._wanted_by_upstream.setdefault(
            order.upstream_id,
            commands_pb2.WantedImage(upstream_id=order.upstream_id),
        )
        wanted.address = order.address
        wanted.service = order.service
        slot = slot_of(order.action, order.subject)
        kept = [item for item in wanted.items if item.slot != slot]
        kept.append(
            commands_pb2.WantedItem(
                slot=slot,
                action=order.action,
                subject=order.subject,
                fencing=fencing,
                order_id=order.operation_id,
            )
        )
        wanted.ClearField('items')
        wanted.items.extend(kept)

    def images(self) -> Iterable[commands_pb2.WantedImage]:
        """Return the wanted state, sorted by upstream."""
        return [
            wanted for _, wanted in sorted(self._wanted_by_upstream.items())
        ]

    def load(self, images: Iterable[commands_pb2.WantedImage]) -> None:
        """Replace the wanted state by the content of a snapshot."""
        self._wanted_by_upstream = {
            wanted.upstream_id: wanted for wanted in images
        }
