"""Parts shared by the stand-ins: a threaded JSON server, announcements."""

import argparse
import itertools
import json
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.request import Request, urlopen

RENEW_SECONDS = 0.5


class JsonHandler(BaseHTTPRequestHandler):
    """Reads and writes JSON over persistent connections."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, format, *args):
        """Log nothing."""

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get('Content-Length', 0)))

    def read_json(self):
        return json.loads(self.read_body() or b'{}')

    def reply(self, members, status=200, headers=()):
        content = json.dumps(members).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(content)))
        for name, text in headers:
            self.send_header(name, text)
        self.end_headers()
        self.wfile.write(content)

    def reply_error(self, status, message, headers=()):
        self.reply({'error': {'message': message}}, status, headers)

    def abort(self):
        """Close the connection without a response."""
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)


class StandInServer(ThreadingHTTPServer):
    """Serves each connection in its own thread."""

    daemon_threads = True
    request_queue_size = 1024

    def handle_error(self, request, client_address):
        """Log nothing when the client disconnects."""


def serving_parser(description) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--entry', help='announce to this entry: IP:PORT')
    parser.add_argument('--announce-key', default='announce-key')
    parser.add_argument('--id', default='')
    parser.add_argument('--incarnation', type=int, default=1)
    parser.add_argument('--data-centre', default='local')
    return parser


def announcement(options, address, **members):
    announced = {
        'upstream_id': options.id or f'{options.service}-{address[1]}',
        'incarnation': options.incarnation,
        'service': options.service,
        'address': f'{address[0]}:{address[1]}',
        'data_centre': options.data_centre,
    }
    announced.update(members)
    return announced


def serve(handler, options, members):
    """Print the announcement as one line, then serve until killed."""
    host, _, port = options.listen.rpartition(':')
    server = StandInServer((host, int(port)), handler)
    announced = announcement(options, server.server_address, **members)
    sys.stdout.write(json.dumps(announced) + '\n')
    sys.stdout.flush()
    if options.entry:
        threading.Thread(
            target=_renew, args=(options, announced), daemon=True
        ).start()
    server.serve_forever()


def post_announcement(
    entry: object, verb: str, key: str, members: object
) -> int:
    """Announce to, renew at or leave an entry; return the HTTP status."""
    request = Request(
        f'http://{entry}/upstreams/v1/{verb}',
        json.dumps(members).encode(),
        {'Authorization': f'Bearer {key}'},
    )
    try:
        with urlopen(request, timeout=2) as answer:
            return int(answer.status)
    except OSError as exc:
        return int(getattr(exc, 'code', 0))


def _renew(options, members):
    verb = 'announce'
    entries = options.entry.split(',')
    for attempt in itertools.count():
        # Each attempt goes to the next entry, in case one is unreachable.
        status = post_announcement(
            entries[attempt % len(entries)], verb, options.announce_key, members
        )
        if status == 200:
            verb = 'renew'
        time.sleep(RENEW_SECONDS)
