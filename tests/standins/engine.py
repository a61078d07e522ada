"""A simulated model engine with a prefix cache and injectable faults."""

import json
import threading
import time
import zlib
from urllib.parse import parse_qs

from tests.standins.serving import JsonHandler, serve, serving_parser

_BLOCK_BYTES = 4096
_BYTES_PER_TOKEN = 4


def token_text(position):
    """Return the text that every engine generates at ``position``."""
    return f'w{position} '


class Engine:
    """State of the engine; the options select its faults."""

    def __init__(self, options):
        self.options = options
        self.lock = threading.Lock()
        self.hold_by_attempt = {}
        self.cached_blocks = set()
        self.events = []
        self.running = 0
        self.report_count = 0
        self.kv_by_id = {}
        self.order = {
            'fencing': 0,
            'models': [options.service],
            'role': 'both',
            'drain': '',
        }
        self.refused_cancels = 0
        self.generated = 0
        self.received = 0
        self.broken_streams = 0
        self.cancelled = set()
        self.prefill_lock = threading.Lock()

    def reserve(self, request):
        """Hold memory for an attempt; return False if none is free.

        Also refuses an attempt whose cancel arrived first.
        """
        requested = request.get('memory_tokens', 0)
        with self.lock:
            self.received += 1
            if request['attempt_id'] in self.cancelled:
                return False
            held = sum(
                hold['memory_tokens'] for hold in self.hold_by_attempt.values()
            )
            if held + requested > self.options.memory_tokens:
                return False
            self.hold_by_attempt[request['attempt_id']] = {
                'attempt_id': request['attempt_id'],
                'memory_tokens': requested,
                'owner': request['owner'],
            }
            return True

    def holds(self, attempt_id):
        return attempt_id in self.hold_by_attempt

    def release(self, attempt_id):
        with self.lock:
            self.hold_by_attempt.pop(attempt_id, None)

    def cancel(self, attempt_id):
        """Cancel an attempt; return whether it still holds memory."""
        with self.lock:
            if self.refused_cancels < self.options.refuse_cancels:
                self.refused_cancels += 1
                return attempt_id in self.hold_by_attempt
            if not self.options.forget_cancels:
                # The request of the attempt may arrive after its cancel.
                self.cancelled.add(attempt_id)
            self.hold_by_attempt.pop(attempt_id, None)
            return False

    def wait_for_prefill(self, text):
        """Wait for the prefill time of the uncached part of a prompt."""
        uncached_bytes = 0
        prefix_hash = 0
        for start in range(0, len(text), _BLOCK_BYTES):
            prefix_hash = zlib.crc32(
                text[start : start + _BLOCK_BYTES], prefix_hash
            )
            if prefix_hash in self.cached_blocks:
                continue
            uncached_bytes += min(_BLOCK_BYTES, len(text) - start)
            with self.lock:
                self.cached_blocks.add(prefix_hash)
                self.events.append(
                    {
                        'number': len(self.events) + 1,
                        'event': 'stored',
                        'prefix_hash': prefix_hash,
                        'tokens': (start + _BLOCK_BYTES) // _BYTES_PER_TOKEN,
                    }
                )
        with self.prefill_lock:
            time.sleep(
                uncached_bytes / _BYTES_PER_TOKEN / self.options.prefill_rate
            )

    def load(self):
        with self.lock:
            self.report_count += 1
            held = sum(
                hold['memory_tokens'] for hold in self.hold_by_attempt.values()
            )
            return {
                'number': self.report_count,
                'running': len(self.hold_by_attempt),
                'waiting': 0,
                'memory_tokens_free': self.options.memory_tokens - held,
                'memory_tokens': self.options.memory_tokens,
                'prefill_backlog': 0,
                'prefill_rate': self.options.prefill_rate,
                'decode_rate': self.options.decode_rate,
                'generated': self.generated,
            }

    def take_order(self, order):
        """Apply an order; return whether its fencing number was accepted."""
        with self.lock:
            checked = self.options.fencing == 'checked'
            if checked and order['fencing'] < self.order['fencing']:
                return False
            self.order['fencing'] = order['fencing']
            models = self.order['models']
            subject = order['subject']
            if order['action'] == 'load' and subject not in models:
                models.append(subject)
            if order['action'] == 'unload' and subject in models:
                models.remove(subject)
            if order['action'] in {'role', 'drain'}:
                self.order[order['action']] = subject
            return True


class EngineHandler(JsonHandler):
    """The engine interface of docs/UPSTREAMS.md."""

    engine: Engine

    def do_GET(self):
        path, _, query = self.path.partition('?')
        after = int(parse_qs(query).get('after', ['0'])[0])
        members_by_path = {
            '/v1/holds': lambda: {
                'holds': list(self.engine.hold_by_attempt.values())
            },
            '/v1/load': self.engine.load,
            '/v1/cache-events': lambda: {'events': self.engine.events[after:]},
            '/v1/orders': lambda: self.engine.order,
        }
        members = members_by_path.get(path)
        exported = self.engine.kv_by_id.get(path)
        if members is not None:
            self.reply(members())
        elif exported is not None:
            self.reply({'kv': exported})
        else:
            self.reply_error(404, 'no such path')

    def do_POST(self):
        if self.path == '/v1/generate':
            self.generate(self.read_json())
        elif self.path == '/v1/cancel':
            attempt_id = self.read_json()['attempt_id']
            self.reply({'holds': self.engine.cancel(attempt_id)})
        elif self.path == '/v1/orders':
            if self.engine.take_order(self.read_json()):
                self.reply(self.engine.order)
            else:
                self.reply_error(409, 'old fencing number')
        elif self.path.startswith('/v1/kv/'):
            self.engine.kv_by_id[self.path] = self.read_body().decode('latin-1')
            self.reply({})
        else:
            self.reply_error(404, 'no such path')

    def generate(self, request):
        attempt_id = request['attempt_id']
        options = self.engine.options
        if options.late:
            time.sleep(options.late)
        if not self.engine.reserve(request):
            self.reply_error(503, 'no memory', (('Retry-After', '1'),))
            return
        self.start_response()
        # The memory of a broken stream is held until the attempt is cancelled.
        try:
            ended = self.stream_answer(request, attempt_id)
        except OSError:
            self.engine.broken_streams += 1
            raise
        if ended:
            self.engine.release(attempt_id)

    def stream_answer(self, request, attempt_id):
        options = self.engine.options
        prompt = str(request.get('prompt') or request.get('messages')).encode()
        self.engine.wait_for_prefill(prompt)
        position = request['resume_from']['position']
        end = min(request['max_tokens'], options.answer_tokens)
        stated_id = attempt_id
        while position < end:
            if not self.engine.holds(attempt_id):
                self.abort()
                return False
            if position == options.die_at:
                self.abort()
                return False
            if position == options.cross_at:
                stated_id = 'another-attempt'
            if position == options.skip_at:
                position += 1
            self.write_token(stated_id, position)
            if position == options.double_at:
                self.write_token(stated_id, position)
            position += 1
            self.engine.generated += 1
            if options.decode_rate:
                time.sleep(1 / options.decode_rate)
        if not options.truncate:
            self.write_line(
                {
                    'attempt_id': stated_id,
                    'finish_reason': 'stop',
                    'usage': {
                        'prompt_tokens': len(prompt) // _BYTES_PER_TOKEN,
                        'output_tokens': end,
                    },
                }
            )
        self.write_block(b'')
        return not options.truncate

    def start_response(self):
        self.send_response(200)
        self.send_header('Content-Type', 'application/x-ndjson')
        if self.engine.options.chunked:
            self.send_header('Transfer-Encoding', 'chunked')
        else:
            self.send_header('Connection', 'close')
            self.close_connection = True
        self.end_headers()

    def write_token(self, stated_id, position):
        self.write_line(
            {
                'attempt_id': stated_id,
                'position': position,
                'text': token_text(position),
            }
        )

    def write_line(self, members):
        self.write_block(json.dumps(members).encode() + b'\n')

    def write_block(self, content):
        if self.engine.options.chunked:
            content = b'%x\r\n%b\r\n' % (len(content), content)
        self.wfile.write(content)


def engine_parser():
    parser = serving_parser(__doc__)
    parser.add_argument('--service', default='draft-desk')
    parser.add_argument('--memory-tokens', type=int, default=400_000)
    parser.add_argument('--prefill-rate', type=float, default=1e6)
    parser.add_argument(
        '--decode-rate',
        type=float,
        default=0,
        help='tokens/s; 0 means no delay',
    )
    parser.add_argument('--answer-tokens', type=int, default=20)
    parser.add_argument('--fencing', choices=('checked', 'ignored'))
    parser.add_argument(
        '--chunked',
        action='store_true',
        help='use chunked encoding and keep the connection open',
    )
    # End the answer without its final record.
    parser.add_argument('--truncate', action='store_true')
    # Faults at one output position each; -1 for none: abort, name another
    # attempt from there on, repeat a token, skip one.
    parser.add_argument('--die-at', type=int, default=-1)
    parser.add_argument('--cross-at', type=int, default=-1)
    parser.add_argument('--double-at', type=int, default=-1)
    parser.add_argument('--skip-at', type=int, default=-1)
    # Seconds before a request is accepted.
    parser.add_argument('--late', type=float, default=0)
    # Accept a request although its cancel arrived before it.
    parser.add_argument('--forget-cancels', action='store_true')
    # Number of cancels, counted from the first, that have no effect.
    parser.add_argument('--refuse-cancels', type=int, default=0)
    return parser


def engine_handler(options):
    """Return the handler class of a new engine."""
    return type('Handler', (EngineHandler,), {'engine': Engine(options)})


def main():
    options = engine_parser().parse_args()
    members = {'memory_tokens': options.memory_tokens}
    serve(engine_handler(options), options, members)


if __name__ == '__main__':
    main()
