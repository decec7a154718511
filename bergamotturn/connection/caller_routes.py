"""Turns callers' requests into calls, answers or refusals."""

import math
import random
from hashlib import sha256
from typing import Final, Protocol, final
from urllib.parse import unquote

import msgspec
from expression import Error, Ok, Result

from ..errors import ErrorKind, Failure
from ..process.events import MemberView, OrderView
from ..request.calls import ChatCall, ServiceCall
from ..request.chat import ChatRequest, parse_chat
from ..request.cost import prompt_tokens_of
from ..version.configuration import (
    Configuration,
    Deployment,
    Policy,
    Service,
    Workspace,
)
from .exchange import Address, Header
from .input_guard import CompleteRequest

__all__ = (
    'SERVICES_PATH',
    'CallerRoutes',
    'Entries',
    'EntryChoice',
    'Model',
    'Models',
    'Routed',
)

#: Addresses in one answer to a lookup.
_ENTRIES: Final = 4

#: Root of the plain services.
SERVICES_PATH: Final = '/v1/services/'

_CHAT_PATH: Final = '/v1/chat/completions'
_MODELS_PATH: Final = '/v1/models'
_ENTRIES_PATH: Final = '/v1/entries'

_KEY_CHARACTERS: Final = 200
_REPEATABLE_METHODS: Final = frozenset(('GET', 'HEAD'))

#: Fields that belong to one connection or to this interface, not to a service.
_OWN_HEADERS: Final = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-call-id',
        'x-request-timeout-s',
    )
)


class EntryChoice(Protocol):
    """Chooses the addresses that callers get."""

    def choose(
        self,
        view: MemberView,
        orders: OrderView,
        policy: Policy,
        count: int,
        random: random.Random,
    ) -> tuple[Address, ...]:
        """Return up to ``count`` caller addresses."""


@final
class Entries(msgspec.Struct, frozen=True):
    entries: tuple[str, ...]
    keep_s: float


@final
class Model(msgspec.Struct, frozen=True):
    id: str
    object: str = 'model'
    owned_by: str = 'bergamotturn'


@final
class Models(msgspec.Struct, frozen=True):
    data: tuple[Model, ...]
    object: str = 'list'


@final
class _ConfigurationIndex:
    """One configuration, looked up by what callers send."""

    def __init__(self, configuration: Configuration) -> None:
        """Index ``configuration``."""
        self.policy = configuration.policy
        self.deployments = {
            deployment.model: deployment
            for deployment in configuration.deployments
        }
        self.services = {
            service.name: service for service in configuration.services
        }
        self.workspaces = {
            digest.lower(): workspace
            for workspace in configuration.workspaces
            for digest in workspace.key_digests
        }


Routed = ChatCall | ServiceCall | Entries | Models | Failure


@final
class CallerRoutes:
    """Decides what each request is, by what is in force now.

    :param own_address: given to callers while no members are known.
    """

    def __init__(self, own_address: Address, entry_choice: EntryChoice) -> None:
        """Start without a configuration."""
        self._own_address = own_address
        self._entry_choice = entry_choice
        self._random = random.Random()  # noqa: S311
        self._index: _ConfigurationIndex | None = None
        self._members: MemberView | None = None
        self._orders = OrderView(())
        self.is_draining = False

    def use_configuration(self, configuration: Configuration) -> None:
        """Serve by ``configuration`` from now on."""
        self._index = _ConfigurationIndex(configuration)

    def use_members(self, view: MemberView) -> None:
        """Choose entries among ``view`` from now on."""
        self._members = view

    def use_orders(self, view: OrderView) -> None:
        """Choose entries by ``view`` from now on."""
        self._orders = view

    def route(
        self, request: CompleteRequest, call_id: str, now_s: float
    ) -> Routed:
        """Return what ``request`` asks for, or why it is refused."""
        workspace = self._admit(request)
        if workspace.is_error():
            return workspace.error
        if request.path.startswith(SERVICES_PATH):
            return self._service_call(request, call_id, workspace.ok, now_s)
        if request.path == _CHAT_PATH:
            if request.method != 'POST':
                return Failure(ErrorKind.method_not_allowed)
            return self._chat_call(request, call_id, workspace.ok, now_s)
        if request.path not in {_MODELS_PATH, _ENTRIES_PATH}:
            return Failure(ErrorKind.unknown_path)
        if request.method != 'GET':
            return Failure(ErrorKind.method_not_allowed)
        if request.path == _MODELS_PATH:
            return self._models_of(workspace.ok)
        return self._choose_entries()

    def _admit(self, request: CompleteRequest) -> Result[Workspace, Failure]:
        if self.is_draining:
            return Error(Failure(ErrorKind.draining))
        if self._index is None:
            return Error(
                Failure(
                    ErrorKind.endpoint_unavailable,
                    'No configuration is in force yet.',
                )
            )
        digest = sha256(request.bearer().encode('latin-1')).hexdigest()
        workspace = self._index.workspaces.get(digest)
        if workspace is None:
            return Error(Failure(ErrorKind.unauthorised))
        return Ok(workspace)

    def _chat_call(
        self,
        request: CompleteRequest,
        call_id: str,
        workspace: Workspace,
        now_s: float,
    ) -> ChatCall | Failure:
        parsed = parse_chat(request.body)
        if parsed.is_error():
            return parsed.error
        chat: ChatRequest = parsed.ok
        deployment = self._index.deployments.get(chat.model)
        if deployment is None:
            return Failure(ErrorKind.unknown_model)
        if chat.model not in workspace.uses:
            return Failure(ErrorKind.forbidden)
        prompt = chat.prompt()
        prompt_tokens = prompt_tokens_of(prompt)
        if prompt_tokens > deployment.max_prompt_tokens:
            return _prompt_too_long(prompt_tokens, deployment)
        timeout_s = _timeout_s(request, deployment.deadline_s)
        if timeout_s is None:
            return _bad_timeout()
        return ChatCall(
            call_id=call_id,
            workspace=workspace.name,
            model=chat.model,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
            max_tokens=chat.output_limit(),
            stream=bool(chat.stream),
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
        )

    def _service_call(
        self,
        request: CompleteRequest,
        call_id: str,
        workspace: Workspace,
        now_s: float,
    ) -> ServiceCall | Failure:
        rest = request.path.removeprefix(SERVICES_PATH)
        name, _, path = rest.partition('/')
        service = self._index.services.get(unquote(name))
        if service is None:
            return Failure(ErrorKind.unknown_path)
        if service.name not in workspace.uses:
            return Failure(ErrorKind.forbidden)
        failure = _check_key(request, service)
        if failure is not None:
            return failure
        timeout_s = _timeout_s(request, service.deadline_s)
        if timeout_s is None:
            return _bad_timeout()
        query = f'?{request.query}' if request.query else ''
        return ServiceCall(
            call_id=call_id,
            workspace=workspace.name,
            service=service.name,
            method=request.method,
            path=f'/{path}{query}',
            headers=_service_headers(request),
            body=request.body,
            idempotency_key=request.header('idempotency-key'),
            arrived_s=now_s,
            deadline_s=now_s + timeout_s,
        )

    def _models_of(self, workspace: Workspace) -> Models:
        return Models(
            tuple(
                Model(model)
                for model in self._index.deployments
                if model in workspace.uses
            )
        )

    def _choose_entries(self) -> Entries:
        policy = self._index.policy
        addresses = (self._own_address,)
        if self._members is not None:
            addresses = self._entry_choice.choose(
                self._members, self._orders, policy, _ENTRIES, self._random
            )
        return Entries(
            tuple(str(address) for address in addresses), policy.entry_answer_s
        )


def _timeout_s(request: CompleteRequest, longest_s: float) -> float | None:
    """Return the time for the whole answer, None when it is not a number."""
    text = request.header('x-request-timeout-s')
    if not text:
        return longest_s
    try:
        wanted_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(wanted_s) or wanted_s <= 0:
        return None
    return min(wanted_s, longest_s)


def _bad_timeout() -> Failure:
    return Failure(
        ErrorKind.bad_request,
        'X-Request-Timeout-S must be a number of seconds above zero.',
    )


def _prompt_too_long(prompt_tokens: int, deployment: Deployment) -> Failure:
    return Failure(
        ErrorKind.prompt_too_long,
        f'It has {prompt_tokens} tokens; the model takes at most '
        + f'{deployment.max_prompt_tokens}.',
    )


def _check_key(request: CompleteRequest, service: Service) -> Failure | None:
    key = request.header('idempotency-key')
    if key and not (key.isprintable() and len(key) <= _KEY_CHARACTERS):
        return Failure(
            ErrorKind.bad_request,
            f'An Idempotency-Key has at most {_KEY_CHARACTERS} characters.',
        )
    if key or service.repeatable or request.method in _REPEATABLE_METHODS:
        return None
    return Failure(ErrorKind.key_required)


def _service_headers(request: CompleteRequest) -> tuple[Header, ...]:
    return tuple(
        Header(name, content)
        for name, content in request.headers
        if name not in _OWN_HEADERS
    )
