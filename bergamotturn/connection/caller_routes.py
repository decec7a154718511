"""Routes callers' requests to calls, immediate answers or refusals."""

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
from .request_assembler import CompleteRequest

__all__ = (
    'SERVICES_PATH',
    'CallerRoutes',
    'Entries',
    'EntryChoice',
    'Model',
    'Models',
    'RouteOutcome',
)

#: Maximum number of instance addresses in one answer.
_MAX_ENTRIES: Final = 4

#: Path prefix of the plain services.
SERVICES_PATH: Final = '/v1/services/'

_CHAT_PATH: Final = '/v1/chat/completions'
_MODELS_PATH: Final = '/v1/models'
_ENTRIES_PATH: Final = '/v1/entries'

_MAX_KEY_CHARACTERS: Final = 200
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD'))

#: Header fields that are not forwarded to a service: they belong to the
#: caller's connection or to this interface.
_UNFORWARDED_HEADERS: Final = frozenset(
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
    """Chooses the instance addresses that callers are given."""

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
    """Addresses that callers may use, and for how long."""

    entries: tuple[str, ...]
    keep_s: float


@final
class Model(msgspec.Struct, frozen=True):
    """One model in the list of models."""

    id: str
    object: str = 'model'
    owned_by: str = 'bergamotturn'


@final
class Models(msgspec.Struct, frozen=True):
    """Models that a workspace may use."""

    data: tuple[Model, ...]
    object: str = 'list'


@final
class _ConfigurationIndex:
    """Lookup tables of one configuration, keyed by what callers send."""

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


RouteOutcome = ChatCall | ServiceCall | Entries | Models | Failure


@final
class CallerRoutes:
    """Routes requests by the configuration, members and orders in force.

    :param own_address: given to callers while no members are known.
    """

    def __init__(self, own_address: Address, entry_choice: EntryChoice) -> None:
        """Refuse every request until a configuration is in force."""
        self._own_address = own_address
        self._entry_choice = entry_choice
        self._random = random.Random()  # noqa: S311
        self._index: _ConfigurationIndex | None = None
        self._members: MemberView | None = None
        self._orders = OrderView(())
        self.is_draining = False

    def use_configuration(self, configuration: Configuration) -> None:
        """Route by ``configuration`` from now on."""
        self._index = _ConfigurationIndex(configuration)

    def use_members(self, view: MemberView) -> None:
        """Choose entries among the members of ``view`` from now on."""
        self._members = view

    def use_orders(self, view: OrderView) -> None:
        """Choose entries by the orders of ``view`` from now on."""
        self._orders = view

    def route(
        self, request: CompleteRequest, call_id: str, now_s: float
    ) -> RouteOutcome:
        """Return the call or answer for ``request``, or why it is refused."""
        workspace = self._authenticate(request)
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

    def _authenticate(
        self, request: CompleteRequest
    ) -> Result[Workspace, Failure]:
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
        service_path = request.path.removeprefix(SERVICES_PATH)
        name, _, path = service_path.partition('/')
        service = self._index.services.get(unquote(name))
        if service is None:
            return Failure(ErrorKind.unknown_path)
        if service.name not in workspace.uses:
            return Failure(ErrorKind.forbidden)
        failure = _check_idempotency_key(request, service)
        if failure is not None:
            return failure
        timeout_s = _timeout_s(request, service.deadline_s)
        if timeout_s is None:
            return _bad_timeout()
        return ServiceCall(
            call_id=call_id,
            workspace=workspace.name,
            service=service.name,
            method=request.method,
            path=f'/{path}{request.query}',
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
                self._members, self._orders, policy, _MAX_ENTRIES, self._random
            )
        return Entries(
            tuple(str(address) for address in addresses), policy.entry_answer_s
        )


def _timeout_s(request: CompleteRequest, max_s: float) -> float | None:
    """Return the time limit of the answer, None if the header is invalid."""
    text = request.header('x-request-timeout-s')
    if not text:
        return max_s
    try:
        requested_s = float(text)
    except ValueError:
        return None
    if not math.isfinite(requested_s) or requested_s <= 0:
        return None
    return min(requested_s, max_s)


def _bad_timeout() -> Failure:
    return Failure(
        ErrorKind.bad_request,
        'X-Request-Timeout-S must be a positive number of seconds.',
    )


def _prompt_too_long(prompt_tokens: int, deployment: Deployment) -> Failure:
    return Failure(
        ErrorKind.prompt_too_long,
        f'The prompt has {prompt_tokens} tokens; the model accepts at most '
        + f'{deployment.max_prompt_tokens}.',
    )


def _check_idempotency_key(
    request: CompleteRequest, service: Service
) -> Failure | None:
    key = request.header('idempotency-key')
    if key and not (key.isprintable() and len(key) <= _MAX_KEY_CHARACTERS):
        return Failure(
            ErrorKind.bad_request,
            f'An Idempotency-Key has at most {_MAX_KEY_CHARACTERS} characters.',
        )
    if key or service.repeatable or request.method in _SAFE_METHODS:
        return None
    return Failure(ErrorKind.key_required)


def _service_headers(request: CompleteRequest) -> tuple[Header, ...]:
    return tuple(
        Header(name, content)
        for name, content in request.headers
        if name not in _UNFORWARDED_HEADERS
    )
