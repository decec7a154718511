"""Pure model of a model engine.

It has no socket and no clock: every call brings ``now_s``. One step of the
engine runs a decode for each stream that generates and one chunk of prefill,
in order of priority, as engines with continuous batching do.
"""

from base64 import b64decode, b64encode
from collections import OrderedDict, deque
from dataclasses import asdict, dataclass, field
from typing import Any, Final, final

import msgspec

from features.support.engine_settings import EngineSettings
from features.support.prompts import BLOCK_TOKENS, PromptFacts, answer_tokens

__all__ = ('EngineModel', 'Stream', 'StreamAsk')

#: Engines keep a stream without a reader this long, since it may resume.
_UNREAD_S: Final = 60


@final
class StreamAsk(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a request that starts a stream."""

    stream_id: str
    owner: str
    prompt: str = ''
    max_tokens: int = 16
    priority: int = 0
    epoch: int = 0
    start_id: str = ''
    cold_count: int = 0
    deadline_s: float = 0
    members: tuple[str, ...] = ()


@final
class StreamEntry(msgspec.Struct, frozen=True):
    """One entry of the stream list."""

    stream_id: str
    owner: str
    kv_tokens: int


@final
class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """The engine as it was ``age_s`` before the answer."""

    age_s: float = 0
    start_id: str
    cold_count: int
    state: str = ''
    epoch: int
    kv_used_tokens: int
    kv_total_tokens: int
    waiting: int
    streams: tuple[StreamEntry, ...]


@final
class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix entered or left the cache at ``at_s``."""

    number: int
    prefix_digest: str
    cached: bool
    at_s: float


@final
@dataclass(slots=True, eq=False)
class Stream:
    """A stream; ``finish_reason`` is empty while it runs."""

    ask: StreamAsk
    facts: PromptFacts
    prefill_left: int
    made_tokens: int = 0
    finish_reason: str = ''
    readers: int = 0
    unread_since_s: float = 0
    chunk_tokens: int = 0
    output_tokens: int = field(init=False)
    kv_tokens: int = field(init=False)
    engines: int = field(init=False)

    def __post_init__(self) -> None:
        """Compute its memory here; the engines of a group share equally."""
        digest, max_tokens = self.facts.digest, self.ask.max_tokens
        self.engines = 1 + len(self.ask.members)
        self.output_tokens = answer_tokens(digest, max_tokens)
        whole = self.facts.prompt_tokens + max_tokens
        self.kv_tokens = -(-whole // self.engines)

    def count_reader(self, now_s: float, change: int) -> None:
        """Note that a reader came (1) or went (-1)."""
        self.readers += change
        self.unread_since_s = now_s


@final
@dataclass(slots=True)
class _Snapshot:
    at_s: float
    cold_until_s: float
    report: LoadReport


@final
@dataclass(slots=True)
class EngineRecord:
    """What the model counts; the highs while cold are taken at arrivals."""

    cold_requests_high: int = 0
    cold_kv_tokens_high: int = 0
    falls: int = 0
    cancels: int = 0
    unread_drops: int = 0
    orders: list[tuple[str, str]] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)
    left_at_s: float | None = None

    def note_cold(self, requests: int, kv_tokens: int) -> None:
        """Keep the highest work in flight while cold."""
        self.cold_requests_high = max(self.cold_requests_high, requests)
        self.cold_kv_tokens_high = max(self.cold_kv_tokens_high, kv_tokens)


@final
class EngineModel:
    """One engine.

    Methods that take work return why it was not taken: ``stale_epoch``,
    ``wrong_incarnation``, ``full`` or ``fell_over``, and else an empty text.
    """

    def __init__(
        self, settings: EngineSettings, now_s: float, boot: int = 0
    ) -> None:
        """Start the engine; its start ids count on from ``boot``."""
        self.settings = settings
        self.record = EngineRecord()
        self._boot = boot
        self.start_id = str(boot)
        self.cold_count = 0
        self.epoch = 0
        self._cold_until_s = now_s
        self._next_sweep_s = now_s
        self._snapshots: deque[_Snapshot] = deque()
        self._events: list[CacheEvent] = []
        self._clear()
        if settings.start_cold:
            self.turn_cold(now_s)
        self._note(now_s)

    @property
    def kv_used_tokens(self) -> int:
        """Return the KV memory that streams and groups hold."""
        holders = (*self._running, *self._groups.values())
        return sum(holder.kv_tokens for holder in holders)

    def status(self, now_s: float) -> dict[str, str | int]:
        """Return what identifies this start, and the state."""
        state = 'cold' if now_s < self._cold_until_s else 'warm'
        identity = {'start_id': self.start_id, 'cold_count': self.cold_count}
        return {**identity, 'state': state}

    def facts(self, _: float) -> dict[str, Any]:
        """Return what the model counted."""
        return {**asdict(self.record), 'kv_used_tokens': self.kv_used_tokens}

    def start(self, now_s: float, ask: StreamAsk, facts: PromptFacts) -> str:
        """Take a stream; a repeat of one that is known changes nothing."""
        self.advance(now_s)
        if ask.stream_id in self.streams:
            return ''
        if self.settings.checks_fencing:
            if ask.epoch < self.epoch:
                return 'stale_epoch'
            asked = (ask.start_id, ask.cold_count)
            if asked != (self.start_id, self.cold_count):
                return 'wrong_incarnation'
        self.fence(now_s, ask.epoch)
        kept = msgspec.structs.replace(ask, prompt='')
        return self._take(now_s, Stream(kept, facts, facts.prompt_tokens))

    def cancel(self, now_s: float, stream_id: str) -> None:
        """Drop a stream and free its memory; unknown ids are ignored."""
        self.advance(now_s)
        if stream_id in self.streams:
            self.record.cancels += self._drop(stream_id)
            self._settle(now_s)

    def hold_group(
        self, now_s: float, group_id: str, owner: str, kv_tokens: int
    ) -> str:
        """Hold memory for a prompt that another engine leads."""
        self.advance(now_s)
        if group_id in self._groups:
            return ''
        if self.kv_used_tokens + kv_tokens > self.settings.kv_tokens:
            return 'full'
        self._groups[group_id] = StreamEntry(group_id, owner, kv_tokens)
        return self._bear(now_s)

    def free_group(self, now_s: float, group_id: str) -> None:
        """Free a group's memory; unknown ids are ignored."""
        self.advance(now_s)
        self._groups.pop(group_id, None)
        self._settle(now_s)

    def fence(self, now_s: float, epoch: int) -> None:
        """Remember the highest fencing number that was seen."""
        if epoch > self.epoch:
            self.epoch = epoch
            self._note(now_s)

    def order(self, now_s: float, epoch: int, kind: str, argument: str) -> str:
        """Take an order to load something or to change role."""
        if self.settings.checks_fencing and epoch < self.epoch:
            return 'stale_epoch'
        self.fence(now_s, epoch)
        self.record.orders.append((kind, argument))
        return ''

    def turn_cold(self, now_s: float) -> None:
        """Turn cold without warning; streams go on, but slower."""
        self.cold_count += 1
        self._cold_until_s = now_s + self.settings.cold_s
        self._cache.clear()
        self._note(now_s)

    def restart(self, now_s: float) -> None:
        """Drop everything and start again, cold."""
        self._boot += 1
        self.start_id = str(self._boot)
        self._clear()
        self.turn_cold(now_s)

    def load(self, now_s: float) -> LoadReport:
        """Return the lagging load report."""
        self.advance(now_s)
        self._forget_snapshots(now_s)
        oldest = self._snapshots[0]
        as_of_s = max(now_s - self.settings.load_lag_s, oldest.at_s)
        state = 'cold' if as_of_s < oldest.cold_until_s else 'warm'
        age_s = now_s - as_of_s
        return msgspec.structs.replace(oldest.report, age_s=age_s, state=state)

    def cache_events(self, now_s: float, after: str) -> dict[str, Any]:
        """Return the cache events that can be seen now, with their gaps."""
        until_s = now_s - self.settings.cache_lag_s
        gap = self.settings.cache_gap_every
        seen = self._events[int(after) :]
        seen = [each for each in seen if each.at_s <= until_s]
        return {'events': [each for each in seen if each.number % gap]}

    def export_kv(self, stream_id: str) -> str:
        """Return a stream's cache and position, nothing when unknown."""
        stream = self.streams.get(stream_id)
        if stream is None or not stream.made_tokens:
            return ''
        exported = (stream.ask, stream.facts, 0, stream.made_tokens)
        return b64encode(msgspec.json.encode(exported)).decode()

    def import_kv(self, now_s: float, blob: str) -> str:
        """Continue an exported stream here, without prefill."""
        self.advance(now_s)
        shape = tuple[StreamAsk, PromptFacts, int, int]
        exported = msgspec.json.decode(b64decode(blob), type=shape)
        return self._take(now_s, Stream(*exported))

    def advance(self, now_s: float) -> None:
        """Run all steps that end by ``now_s``."""
        while self.step_end_s is not None and self.step_end_s <= now_s:
            self._finish_step(self.step_end_s)
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + 1
            self._drop_unread(now_s)

    def _clear(self) -> None:
        self.streams: dict[str, Stream] = {}
        self._waiting: list[Stream] = []
        self._running: list[Stream] = []
        self._groups: dict[str, StreamEntry] = {}
        self._cache: OrderedDict[str, PromptFacts] = OrderedDict()
        self.step_end_s: float | None = None

    def _take(self, now_s: float, stream: Stream) -> str:
        too_large = stream.kv_tokens > self.settings.kv_tokens
        if too_large or len(self._waiting) >= self.settings.waiting_requests:
            return 'full'
        stream.unread_since_s = now_s
        self.streams[stream.ask.stream_id] = stream
        self._waiting.append(stream)
        self._waiting.sort(key=lambda waiting: waiting.ask.priority)
        return self._bear(now_s)

    def _bear(self, now_s: float) -> str:
        """Count new work, and fall over when it is too much for the cold."""
        record, limits = self.record, self.settings
        record.arrivals_s.append(now_s)
        if now_s < self._cold_until_s:
            streams = (*self._running, *self._waiting)
            works = (*streams, *self._groups.values())
            kv_tokens = sum(work.kv_tokens for work in works)
            record.note_cold(len(works), kv_tokens)
            too_many = len(works) > limits.cold_requests
            if too_many or kv_tokens > limits.cold_kv_tokens:
                record.falls += 1
                self.restart(now_s)
                return 'fell_over'
        self._settle(now_s)
        return ''

    def _settle(self, now_s: float) -> None:
        """Move waiting streams that fit to the batch, and note the change."""
        while self._waiting and self._fits(self._waiting[0]):
            stream = self._waiting.pop(0)
            self._running.append(stream)
            stream.prefill_left -= self._cached_tokens(stream)
        if self.step_end_s is None and self._running:
            self._begin_step(now_s)
        self._note(now_s)

    def _fits(self, stream: Stream) -> bool:
        free = self.settings.kv_tokens - self.kv_used_tokens
        has_place = len(self._running) < self.settings.warm_requests
        return has_place and stream.kv_tokens <= free

    def _cached_tokens(self, stream: Stream) -> int:
        blocks = stream.facts.blocks
        if not stream.prefill_left or blocks[0] not in self._cache:
            return 0
        self._cache.move_to_end(blocks[0])
        known = self._cache[blocks[0]].blocks
        common = len(set(known).intersection(blocks))
        return min(common * BLOCK_TOKENS, stream.prefill_left - 1)

    def _begin_step(self, now_s: float) -> None:
        budget = float(self.settings.chunk_tokens)
        prefills = [stream for stream in self._running if stream.prefill_left]
        for stream in sorted(prefills, key=lambda each: each.ask.priority):
            # A group's engines share the prefill of its prompt.
            share = int(budget * stream.engines)
            stream.chunk_tokens = min(share, stream.prefill_left)
            budget -= stream.chunk_tokens / stream.engines
        used = self.settings.chunk_tokens - budget
        # Decoding is bound by memory and prefill by arithmetic, so that the
        # longer of both sets the step's time.
        prefill_s = used / self.settings.prefill_tokens_per_s
        step_s = max(self.settings.decode_step_s, prefill_s)
        if now_s < self._cold_until_s:
            step_s *= self.settings.cold_slowdown
        self.step_end_s = now_s + step_s

    def _finish_step(self, now_s: float) -> None:
        ended = [each for each in self._running if self._step(now_s, each)]
        for stream in ended:
            whole = stream.output_tokens == answer_tokens(stream.facts.digest)
            stream.finish_reason = 'stop' if whole else 'length'
            stream.unread_since_s = now_s
            self._running.remove(stream)
        self.step_end_s = None
        if ended:
            self._settle(now_s)
        elif self._running:
            self._begin_step(now_s)

    def _step(self, now_s: float, stream: Stream) -> bool:
        """Move one stream on by a step; return whether it ended."""
        prefilled = stream.chunk_tokens
        stream.chunk_tokens = 0
        stream.prefill_left -= prefilled
        if stream.prefill_left:
            return False
        if prefilled:
            self._remember(now_s, stream.facts)
        stream.made_tokens += 1
        return stream.made_tokens >= stream.output_tokens

    def _remember(self, now_s: float, facts: PromptFacts) -> None:
        is_new = facts.blocks[0] not in self._cache
        self._cache[facts.blocks[0]] = facts
        self._cache.move_to_end(facts.blocks[0])
        if is_new:
            self._publish(now_s, facts.blocks[0])
        limit = self.settings.cache_tokens // BLOCK_TOKENS
        while sum(len(each.blocks) for each in self._cache.values()) > limit:
            self._publish(now_s, self._cache.popitem(last=False)[0])

    def _publish(self, now_s: float, digest: str) -> None:
        number = len(self._events) + 1
        cached = digest in self._cache
        self._events.append(CacheEvent(number, digest, cached, now_s))

    def _drop_unread(self, now_s: float) -> None:
        for stream_id, stream in tuple(self.streams.items()):
            if not stream.readers and now_s - stream.unread_since_s > _UNREAD_S:
                self.record.unread_drops += self._drop(stream_id)
                self._settle(now_s)

    def _drop(self, stream_id: str) -> bool:
        """Forget a stream; return whether it still ran."""
        stream = self.streams.pop(stream_id)
        self._running = [each for each in self._running if each is not stream]
        self._waiting = [each for each in self._waiting if each is not stream]
        if not self._running:
            self.step_end_s = None
        return not stream.finish_reason

    def _note(self, now_s: float) -> None:
        """Record the state that a lagging report will show later."""
        listed = [
            StreamEntry(each.ask.stream_id, each.ask.owner, each.kv_tokens)
            for each in (*self._running, *self._waiting)
        ]
        report = LoadReport(
            start_id=self.start_id,
            cold_count=self.cold_count,
            epoch=self.epoch,
            kv_used_tokens=self.kv_used_tokens,
            kv_total_tokens=self.settings.kv_tokens,
            waiting=len(self._waiting),
            streams=(*listed, *self._groups.values()),
        )
        self._snapshots.append(_Snapshot(now_s, self._cold_until_s, report))
        self._forget_snapshots(now_s)

    def _forget_snapshots(self, now_s: float) -> None:
        then_s = now_s - self.settings.load_lag_s
        while len(self._snapshots) > 1 and self._snapshots[1].at_s <= then_s:
            self._snapshots.popleft()
