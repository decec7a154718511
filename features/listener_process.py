"""A caller listener in a separate process, with stubs behind it.

Started by the steps of ``bad_input.feature`` and ``tls.feature``. The arguments
are the port and, as JSON, the limits and the certificate for the settings.
Chat calls for the model ``echo`` are answered with their prompt; the other
models are named after the behaviour of their stub.
"""

import sys
from hashlib import sha256

import msgspec
from circuits import Component, Event, handler

from bergamotturn.connection.caller_listener import CallerListener
from bergamotturn.connection.exchange import Header
from bergamotturn.errors import ErrorKind, Failure
from bergamotturn.process.events import (
    configuration_changed,
    shutdown_phase_changed,
)
from bergamotturn.process.timers import Timers
from bergamotturn.request.answer import EndChunk
from bergamotturn.request.calls import (
    reply_data,
    reply_end,
    reply_failed,
    reply_head,
)
from bergamotturn.request.chat import ChatAnswerWriter
from bergamotturn.version.configuration import Configuration
from bergamotturn.version.settings import Settings

_STREAM = (Header('Content-Type', 'text/event-stream'),)
_JSON = (Header('Content-Type', 'application/json'),)
_FLOOD_PART = bytes(65_536)
#: Larger than the buffers of both ends of a connection.
_LONG_PART = bytes(16_000_000)


class _flood(Event):
    """Send the next part of an endless answer."""


class _ChatStub(Component):
    """Answers chat calls with the ``_answer_`` method of their model."""

    channel = 'requests'

    def __init__(self, timers):
        super().__init__()
        self._timers = timers
        self._flooding = set()

    @handler('submit_chat')
    def _on_chat(self, call):
        answer = getattr(self, f'_answer_{call.model}', None)
        if answer is not None:
            answer(call)

    def _answer_echo(self, call):
        writer = ChatAnswerWriter(call.call_id, call.model, 0)
        end = EndChunk(1, 'stop', call.prompt_tokens, 1)
        parts = [writer.full(call.prompt, end)]
        if call.stream:
            parts = [
                writer.opening(),
                writer.text(call.prompt),
                writer.closing(end),
            ]
        headers = _STREAM if call.stream else _JSON
        self._reply(reply_head(call.call_id, 200, headers))
        for part in parts:
            self._reply(reply_data(call.call_id, part))
        self._reply(reply_end(call.call_id))

    def _answer_cut(self, call):
        self._reply(reply_head(call.call_id, 200, _STREAM))
        self._reply(reply_data(call.call_id, b'data: part\n\n'))
        failure = Failure(ErrorKind.endpoint_lost)
        self._reply(reply_failed(call.call_id, failure))

    def _answer_flood(self, call):
        self._reply(reply_head(call.call_id, 200, _STREAM))
        self._flooding.add(call.call_id)
        self._on_flood(call.call_id)

    def _answer_long(self, call):
        self._reply(reply_head(call.call_id, 200, _STREAM))
        self._reply(reply_data(call.call_id, _LONG_PART))

    def _answer_fault(self, call):
        self._reply(reply_head(call.call_id, 'not a status', ()))

    def _answer_silent(self, call):
        _print_line(f'took {call.call_id}')

    def _answer_drain(self, call):
        self.fire(shutdown_phase_changed('draining'), '*')
        self._answer_echo(call)

    @handler('_flood')
    def _on_flood(self, call_id):
        if call_id not in self._flooding:
            return
        self._reply(reply_data(call_id, _FLOOD_PART))
        self._timers.call_after(0.001, _flood(call_id), self.channel)

    @handler('caller_gone')
    def _on_gone(self, call_id):
        self._flooding.discard(call_id)
        _print_line(f'gone {call_id}')

    def _reply(self, event):
        self.fire(event, 'caller')


class _ServiceStub(Component):
    """Cuts the answer to each service call, whose path is its content type."""

    channel = 'services'

    def __init__(self, timers):
        super().__init__()
        self._timers = timers

    @handler('submit_service')
    def _on_call(self, call):
        content_type = Header('Content-Type', call.path.strip('/'))
        head = reply_head(call.call_id, 200, (content_type,))
        self.fire(head, 'caller')
        self.fire(reply_data(call.call_id, b'data: part\n\n'), 'caller')
        failed = reply_failed(call.call_id, Failure(ErrorKind.endpoint_lost))
        self._timers.call_after(0.1, failed, 'caller')


class _EmptyEntryChoice:
    def choose(self, view, orders, policy, count, random):
        return ()


def _print_line(line):
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _settings(port, limits, caller_tls=None):
    unused_address = {'host': '127.0.0.1', 'port': 1}
    content = {
        'instance': 'a1',
        'data_centre': 'a',
        'caller_address': {'host': '127.0.0.1', 'port': port},
        'operator_address': unused_address,
        'peer_address': unused_address,
        'platform': dict.fromkeys(
            ('table', 'objects', 'instance_list'), unused_address
        ),
        'operator_token_digest': '',
        'limits': {
            'header_bytes': 8_192,
            'body_bytes': 1_000_000,
            'buffered_bytes': 3_000_000,
            'connections': 40,
            **limits,
        },
        'caller_tls': caller_tls,
    }
    return msgspec.convert(content, Settings)


def _configuration():
    models = (
        'echo',
        'cut',
        'flood',
        'long',
        'fault',
        'drain',
        'silent',
        'other',
    )
    limits = {'max_prompt_tokens': 200_000, 'deadline_s': 20}
    digest = sha256(b'north-key').hexdigest()
    uses = (*models[:-1], 'fees')
    content = {
        'deployments': [{'model': model, **limits} for model in models],
        'services': [{'name': 'fees'}],
        'workspaces': [{'name': 'n', 'key_digests': [digest], 'uses': uses}],
    }
    return msgspec.convert(content, Configuration)


def main():
    """Serve until killed."""
    timers = Timers()
    listener = CallerListener(
        _settings(int(sys.argv[1]), **msgspec.json.decode(sys.argv[2])),
        'b',
        timers,
        _EmptyEntryChoice(),
    )
    application = timers + listener + _ChatStub(timers) + _ServiceStub(timers)
    application.fire(configuration_changed(1, _configuration()), '*')
    application.run()


if __name__ == '__main__':
    main()
