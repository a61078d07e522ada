"""What each upstream is wanted to be; orders say the state, not a step."""

from collections.abc import Iterable

from verbenathread.schema import commands_pb2

MAX_UPSTREAMS = 16_384
MAX_ITEMS = 64
ACTIONS = ('load', 'unload', 'role', 'drain', 'forget')
ROLES = ('prefill', 'decode', 'both')
SWITCH_VALUES = ('on', 'off')


def slot_of(action: str, subject: str) -> str:
    """Return the slot that an order fills; the newest one is in force."""
    if action in {'load', 'unload'}:
        return f'model:{subject}'
    return action


def order_problem(action: str, subject: str) -> str:
    """Return what is wrong with an order, or an empty text."""
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
        """Start with nothing wanted."""
        self._wanted_by_upstream: dict[str, commands_pb2.WantedImage] = {}

    def get(self, upstream_id: str) -> commands_pb2.WantedImage | None:
        """Return what one upstream is wanted to be, or None."""
        return self._wanted_by_upstream.get(upstream_id)

    def is_full(self, upstream_id: str) -> bool:
        """Tell whether one more order for the upstream has no room."""
        wanted = self._wanted_by_upstream.get(upstream_id)
        if wanted is None:
            return len(self._wanted_by_upstream) >= MAX_UPSTREAMS
        return len(wanted.items) >= MAX_ITEMS

    def put(self, order: commands_pb2.OrderCommand, fencing: int) -> None:
        """Set one slot of an upstream under a new fencing number."""
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
        kept = [known for known in wanted.items if known.slot != slot]
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
        """Replace the wanted state by what a snapshot holds."""
        self._wanted_by_upstream = {
            wanted.upstream_id: wanted for wanted in images
        }
