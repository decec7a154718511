"""A caller listener in a process of its own, with stubs behind it.

Started by the steps of ``bad_input.feature``; the first argument is the port.
Chat calls for the model ``echo`` are answered with their prompt; the other
models are named after what their stub does wrong.
"""

import sys
from hashlib import sha256

from circuits import Component, Event, handler

from bergamotturn.connection.caller_listener import CallerListener
from bergamotturn.connection.exchange import Address, Header
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
from bergamotturn.version.configuration import (
    Configuration,
    Deployment,
    Service,
    Workspace,
)
from bergamotturn.version.settings import Limits, PlatformSettings, Settings

_NOWHERE = Address('127.0.0.1', 1)
_STREAM = (Header('Content-Type', 'text/event-stream'),)
_JSON = (Header('Content-Type', 'application/json'),)
_FLOOD_PART = bytes(65_536)


class _flood(Event):
    """Send more of an endless answer."""


class _ChatStub(Component):
    """Answers chat calls by the name of their model."""

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
        parts = [writer.whole(call.prompt, end)]
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

    def _answer_fault(self, call):
        self._reply(reply_head(call.call_id, 'not a status', ()))

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
        sys.stdout.write(f'gone {call_id}\n')
        sys.stdout.flush()

    def _reply(self, event):
        self.fire(event, 'caller')


class _ServiceStub(Component):
    """Echoes the body of service calls."""

    channel = 'services'

    @handler('submit_service')
    def _on_service(self, call):
        self.fire(reply_head(call.call_id, 200, call.headers), 'caller')
        self.fire(reply_data(call.call_id, call.path.encode()), 'caller')
        self.fire(reply_data(call.call_id, call.body), 'caller')
        self.fire(reply_end(call.call_id), 'caller')


class _NoChoice:
    def choose(self, view, orders, policy, count, random):
        return ()


def _settings(port):
    return Settings(
        instance='a1',
        data_centre='a',
        caller_address=Address('127.0.0.1', port),
        operator_address=_NOWHERE,
        peer_address=_NOWHERE,
        platform=PlatformSettings(
            table=_NOWHERE, objects=_NOWHERE, instance_list=_NOWHERE
        ),
        operator_token_digest='',
        limits=Limits(
            header_bytes=8_192,
            body_bytes=1_000_000,
            buffered_bytes=3_000_000,
            request_s=1,
            connections=40,
        ),
    )


def _configuration():
    models = ('echo', 'cut', 'flood', 'fault', 'drain', 'silent', 'other')
    return Configuration(
        deployments=tuple(
            Deployment(model=model, max_prompt_tokens=200_000, deadline_s=20)
            for model in models
        ),
        services=(Service(name='fees'), Service(name='forms', repeatable=True)),
        workspaces=(
            Workspace(
                name='north',
                key_digests=(sha256(b'north-key').hexdigest(),),
                uses=(*models[:-1], 'fees', 'forms'),
            ),
        ),
    )


def main():
    """Serve until killed."""
    timers = Timers()
    listener = CallerListener(
        _settings(int(sys.argv[1])), 'b', timers, _NoChoice()
    )
    application = timers + listener + _ChatStub(timers) + _ServiceStub()
    application.fire(configuration_changed(1, _configuration()), '*')
    application.run()


if __name__ == '__main__':
    main()
