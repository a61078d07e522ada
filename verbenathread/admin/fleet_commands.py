"""Commands for nodes, upstreams, members and the audit trail."""

import argparse

from verbenathread.admin import render
from verbenathread.admin.client import ControlClient
from verbenathread.command import CommandOutput
from verbenathread.schema import control_pb2

_SILENT_AFTER_MS = 10_000


async def run_config_status(
    client: ControlClient, _options: argparse.Namespace
) -> CommandOutput:
    """Show which revision each node runs."""
    reply = await client.status()
    behind = [
        node
        for node in reply.nodes
        if node.revision < reply.revision and node.silent_ms <= _SILENT_AFTER_MS
    ]
    live = sum(node.silent_ms <= _SILENT_AFTER_MS for node in reply.nodes)
    summary = (
        f'accepted revision {reply.revision}; {live - len(behind)} of '
        + f'{live} live nodes run it'
    )
    return CommandOutput(
        f'{summary}\n{_node_table(reply)}', render.to_data(reply)
    )


async def run_status(
    client: ControlClient, _options: argparse.Namespace
) -> CommandOutput:
    """Show the control group, the nodes and the orders."""
    reply = await client.status()
    members = render.table(
        ('member', 'address', 'votes', 'log synced to'),
        [
            (
                member.node_id,
                member.address,
                'yes' if member.voter else 'no',
                member.match_index,
            )
            for member in reply.members
        ],
    )
    summary = (
        f'leader {reply.leader}, term {reply.term}, log {reply.commit_index}, '
        + f'revision {reply.revision}'
    )
    parts = [summary, members, _node_table(reply)]
    if reply.orders:
        parts.append(_order_table(reply))
    return CommandOutput('\n\n'.join(parts), render.to_data(reply))


async def run_upstream_list(
    client: ControlClient, _options: argparse.Namespace
) -> CommandOutput:
    """List upstreams as reported by nodes, and their orders."""
    reply = await client.status()
    rows = [
        (
            upstream.upstream_id,
            upstream.service,
            upstream.state,
            upstream.address,
            upstream.data_centre,
        )
        for upstream in reply.upstreams
    ]
    titles = ('upstream', 'service', 'state', 'address', 'data centre')
    shown = render.table(titles, rows)
    if reply.orders:
        shown = f'{shown}\n\n{_order_table(reply)}'
    whole = render.to_data(reply)
    return CommandOutput(
        shown, {'upstreams': whole['upstreams'], 'orders': whole['orders']}
    )


async def run_upstream_drain(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Order an upstream to stop or resume accepting new work."""
    options.action = 'drain'
    options.subject = options.switch
    return await run_upstream_order(client, options)


async def run_upstream_order(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Set the desired state of an upstream."""
    reply = await client.order(
        options.upstream,
        options.action,
        options.subject,
        address=options.address or '',
        service=options.service or '',
    )
    return CommandOutput(
        f'ordered with fencing number {reply.fencing}; upstream list shows '
        + 'when the upstream has applied it',
        render.to_data(reply),
    )


async def run_audit(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Show the audit trail, including refused changes."""
    reply = await client.audit(options.after, options.limit, options.path or '')
    rows = [
        (
            record.index,
            render.format_time(record.time_ms),
            record.operator_name,
            record.action,
            record.subject,
            record.expected_revision,
            record.result,
        )
        for record in reply.records
    ]
    titles = (
        'index',
        'when (UTC)',
        'operator',
        'action',
        'subject',
        'expected',
        'result',
    )
    return render.message_table(titles, rows, reply.records)


async def run_member(
    client: ControlClient, options: argparse.Namespace
) -> CommandOutput:
    """Add, promote or remove a member of the control group."""
    await client.change_member(
        options.action, options.node, options.address or ''
    )
    return CommandOutput(
        f'{options.action} {options.node}: done',
        {'action': options.action, 'node': options.node},
    )


def _node_table(reply: control_pb2.StatusReply) -> str:
    rows = []
    for node in reply.nodes:
        state = 'stopping' if node.stopping else 'live'
        if node.silent_ms > _SILENT_AFTER_MS:
            state = 'silent'
        rows.append(
            (
                node.node_id,
                node.role,
                node.data_centre,
                node.revision,
                state,
                node.silent_ms,
            )
        )
    titles = ('node', 'role', 'data centre', 'revision', 'state', 'silent ms')
    return render.table(titles, rows)


def _order_table(reply: control_pb2.StatusReply) -> str:
    rows = [
        (
            order.upstream_id,
            order.action,
            order.subject,
            order.fencing,
            order.state,
            order.message,
        )
        for order in reply.orders
    ]
    titles = ('upstream', 'order', 'subject', 'fencing', 'state', 'message')
    return render.table(titles, rows)
