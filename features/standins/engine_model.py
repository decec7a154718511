"""Simulation of a model engine with continuous batching.

It has no socket and no clock: callers pass the time as ``now_s``. Each step
decodes one token for every stream that has finished its prefill, and prefills
up to a chunk of tokens of the other streams, in order of priority.
"""

from base64 import b64decode, b64encode
from collections import OrderedDict, deque
from dataclasses import asdict, dataclass, field
from typing import Any, Final, final

import msgspec

from features.support.engine_settings import EngineSettings
from features.support.prompts import BLOCK_TOKENS, PromptFacts, answer_tokens

__all__ = ('EngineModel', 'Stream', 'StreamAsk')

#: How long a stream without a reader is kept, since a reader may resume it.
_MAX_UNREAD_S: Final = 60


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
    """Memory of one stream or group, as listed in the load report."""

    stream_id: str
    owner: str
    kv_tokens: int


@final
class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of the engine ``age_s`` seconds before the answer."""

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
    """A generation that clients can read and resume.

    :param readers: number of connections that read it now.
    :param unread_since_s: last time a reader came or went, or it ended.
    :param engine_count: engines that share its memory, with this one.
    :param finish_reason: empty until it ends.
    """

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
    engine_count: int = field(init=False)

    def __post_init__(self) -> None:
        """Compute this engine's equal share of the memory of the group."""
        digest, max_tokens = self.facts.digest, self.ask.max_tokens
        self.engine_count = 1 + len(self.ask.members)
        self.output_tokens = answer_tokens(digest, max_tokens)
        total = self.facts.prompt_tokens + max_tokens
        self.kv_tokens = -(-total // self.engine_count)

    def count_reader(self, now_s: float, change: int) -> None:
        """Add a reader (``change`` 1) or remove one (-1)."""
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
    """Counters of the model, for checks.

    :param cold_requests_high: maximum work in flight at an arrival while cold.
    :param falls: how often work above the cold limits crashed the engine.
    :param unread_drops: unfinished streams dropped since nobody read them.
    :param orders: kind and argument of each order that was accepted.
    :param left_at_s: when the engine was told to leave.
    """

    cold_requests_high: int = 0
    cold_kv_tokens_high: int = 0
    falls: int = 0
    cancels: int = 0
    unread_drops: int = 0
    orders: list[tuple[str, str]] = field(default_factory=list)
    arrivals_s: list[float] = field(default_factory=list)
    left_at_s: float | None = None

    def update_cold_highs(self, requests: int, kv_tokens: int) -> None:
        """Update the maxima of the work in flight while cold."""
        self.cold_requests_high = max(self.cold_requests_high, requests)
        self.cold_kv_tokens_high = max(self.cold_kv_tokens_high, kv_tokens)


@final
class EngineModel:
    """One simulated engine.

    Methods that start work return why it was refused: ``stale_epoch``,
    ``wrong_incarnation``, ``full`` or ``fell_over`` (the engine crashed under
    the load and restarted). They return an empty string on success.
    """

    def __init__(
        self, settings: EngineSettings, now_s: float, start_number: int = 0
    ) -> None:
        """Start the engine; start ids count up from ``start_number``."""
        self.settings = settings
        self.record = EngineRecord()
        self._start_number = start_number
        self.start_id = str(start_number)
        self.cold_count = 0
        self.epoch = 0
        self._cold_until_s = now_s
        self._next_sweep_s = now_s
        self._snapshots: deque[_Snapshot] = deque()
        self._events: list[CacheEvent] = []
        self._clear()
        if settings.start_cold:
            self.turn_cold(now_s)
        self._save_snapshot(now_s)

    @property
    def kv_used_tokens(self) -> int:
        """Return the KV memory that streams and groups hold."""
        holders = (*self._running, *self._groups.values())
        return sum(holder.kv_tokens for holder in holders)

    def status(self, now_s: float) -> dict[str, str | int]:
        """Return the engine's incarnation and whether it is cold."""
        state = 'cold' if now_s < self._cold_until_s else 'warm'
        identity = {'start_id': self.start_id, 'cold_count': self.cold_count}
        return {**identity, 'state': state}

    def facts(self, _: float) -> dict[str, Any]:
        """Return the counters and the memory in use."""
        return {**asdict(self.record), 'kv_used_tokens': self.kv_used_tokens}

    def start(self, now_s: float, ask: StreamAsk, facts: PromptFacts) -> str:
        """Start a stream; does nothing if its id is known already."""
        self.advance(now_s)
        if ask.stream_id in self.streams:
            return ''
        if self.settings.checks_fencing:
            if ask.epoch < self.epoch:
                return 'stale_epoch'
            incarnation = (ask.start_id, ask.cold_count)
            if incarnation != (self.start_id, self.cold_count):
                return 'wrong_incarnation'
        self.fence(now_s, ask.epoch)
        stored_ask = msgspec.structs.replace(ask, prompt='')
        return self._enqueue(
            now_s, Stream(stored_ask, facts, facts.prompt_tokens)
        )

    def cancel(self, now_s: float, stream_id: str) -> None:
        """Cancel a stream and free its memory; ignore unknown ids."""
        self.advance(now_s)
        if stream_id in self.streams:
            self.record.cancels += self._drop(stream_id)
            self._schedule(now_s)

    def reserve_group_memory(
        self, now_s: float, group_id: str, owner: str, kv_tokens: int
    ) -> str:
        """Reserve memory for a group whose stream runs on another engine."""
        self.advance(now_s)
        if group_id in self._groups:
            return ''
        if self.kv_used_tokens + kv_tokens > self.settings.kv_tokens:
            return 'full'
        self._groups[group_id] = StreamEntry(group_id, owner, kv_tokens)
        return self._accept_work(now_s)

    def free_group_memory(self, now_s: float, group_id: str) -> None:
        """Free a group's memory; ignore unknown ids."""
        self.advance(now_s)
        self._groups.pop(group_id, None)
        self._schedule(now_s)

    def fence(self, now_s: float, epoch: int) -> None:
        """Raise the fencing epoch to ``epoch``, if that is higher."""
        if epoch > self.epoch:
            self.epoch = epoch
            self._save_snapshot(now_s)

    def order(self, now_s: float, epoch: int, kind: str, argument: str) -> str:
        """Record an order to load something or to change role."""
        if self.settings.checks_fencing and epoch < self.epoch:
            return 'stale_epoch'
        self.fence(now_s, epoch)
        self.record.orders.append((kind, argument))
        return ''

    def turn_cold(self, now_s: float) -> None:
        """Become cold without a restart; streams continue, but slower."""
        self.cold_count += 1
        self._cold_until_s = now_s + self.settings.cold_s
        self._cache.clear()
        self._save_snapshot(now_s)

    def restart(self, now_s: float) -> None:
        """Drop all streams, groups and cached prefixes and start cold."""
        self._start_number += 1
        self.start_id = str(self._start_number)
        self._clear()
        self.turn_cold(now_s)

    def load(self, now_s: float) -> LoadReport:
        """Return the load report, which lags by ``load_lag_s``."""
        self.advance(now_s)
        self._discard_old_snapshots(now_s)
        oldest = self._snapshots[0]
        as_of_s = max(now_s - self.settings.load_lag_s, oldest.at_s)
        state = 'cold' if as_of_s < oldest.cold_until_s else 'warm'
        age_s = now_s - as_of_s
        return msgspec.structs.replace(oldest.report, age_s=age_s, state=state)

    def cache_events(self, now_s: float, after: str) -> dict[str, Any]:
        """Return cache events older than the lag, without the lost ones."""
        until_s = now_s - self.settings.cache_lag_s
        gap_every = self.settings.cache_gap_every
        visible = self._events[int(after) :]
        visible = [each for each in visible if each.at_s <= until_s]
        return {'events': [each for each in visible if each.number % gap_every]}

    def export_kv(self, stream_id: str) -> str:
        """Encode a stream's state; empty if unknown or without a token."""
        stream = self.streams.get(stream_id)
        if stream is None or not stream.made_tokens:
            return ''
        exported = (stream.ask, stream.facts, 0, stream.made_tokens)
        return b64encode(msgspec.json.encode(exported)).decode()

    def import_kv(self, now_s: float, blob: str) -> str:
        """Continue an exported stream on this engine, without prefill."""
        self.advance(now_s)
        blob_type = tuple[StreamAsk, PromptFacts, int, int]
        exported = msgspec.json.decode(b64decode(blob), type=blob_type)
        return self._enqueue(now_s, Stream(*exported))

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

    def _enqueue(self, now_s: float, stream: Stream) -> str:
        exceeds_memory = stream.kv_tokens > self.settings.kv_tokens
        if (
            exceeds_memory
            or len(self._waiting) >= self.settings.waiting_requests
        ):
            return 'full'
        stream.unread_since_s = now_s
        self.streams[stream.ask.stream_id] = stream
        self._waiting.append(stream)
        self._waiting.sort(key=lambda waiting: waiting.ask.priority)
        return self._accept_work(now_s)

    def _accept_work(self, now_s: float) -> str:
        """Count new work; crash and restart if it exceeds the cold limits."""
        record, limits = self.record, self.settings
        record.arrivals_s.append(now_s)
        if now_s < self._cold_until_s:
            streams = (*self._running, *self._waiting)
            accepted = (*streams, *self._groups.values())
            kv_tokens = sum(item.kv_tokens for item in accepted)
            record.update_cold_highs(len(accepted), kv_tokens)
            too_many = len(accepted) > limits.cold_requests
            if too_many or kv_tokens > limits.cold_kv_tokens:
                record.falls += 1
                self.restart(now_s)
                return 'fell_over'
        self._schedule(now_s)
        return ''

    def _schedule(self, now_s: float) -> None:
        """Move waiting streams that fit into the batch and save a snapshot."""
        while self._waiting and self._has_capacity(self._waiting[0]):
            stream = self._waiting.pop(0)
            self._running.append(stream)
            stream.prefill_left -= self._cached_tokens(stream)
        if self.step_end_s is None and self._running:
            self._begin_step(now_s)
        self._save_snapshot(now_s)

    def _has_capacity(self, stream: Stream) -> bool:
        free = self.settings.kv_tokens - self.kv_used_tokens
        has_slot = len(self._running) < self.settings.warm_requests
        return has_slot and stream.kv_tokens <= free

    def _cached_tokens(self, stream: Stream) -> int:
        blocks = stream.facts.blocks
        if not stream.prefill_left or blocks[0] not in self._cache:
            return 0
        self._cache.move_to_end(blocks[0])
        cached_blocks = self._cache[blocks[0]].blocks
        common = len(set(cached_blocks).intersection(blocks))
        return min(common * BLOCK_TOKENS, stream.prefill_left - 1)

    def _begin_step(self, now_s: float) -> None:
        budget = float(self.settings.chunk_tokens)
        prefills = [stream for stream in self._running if stream.prefill_left]
        for stream in sorted(prefills, key=lambda each: each.ask.priority):
            # The engines of a group divide the prefill among them.
            share = int(budget * stream.engine_count)
            stream.chunk_tokens = min(share, stream.prefill_left)
            budget -= stream.chunk_tokens / stream.engine_count
        prefilled = self.settings.chunk_tokens - budget
        # Decoding is bound by memory and prefill by arithmetic: they overlap,
        # and the longer one sets the duration of the step.
        prefill_s = prefilled / self.settings.prefill_tokens_per_s
        step_s = max(self.settings.decode_step_s, prefill_s)
        if now_s < self._cold_until_s:
            step_s *= self.settings.cold_slowdown
        self.step_end_s = now_s + step_s

    def _finish_step(self, now_s: float) -> None:
        ended = [
            each for each in self._running if self._advance_stream(now_s, each)
        ]
        for stream in ended:
            is_full = stream.output_tokens == answer_tokens(stream.facts.digest)
            stream.finish_reason = 'stop' if is_full else 'length'
            stream.unread_since_s = now_s
            self._running.remove(stream)
        self.step_end_s = None
        if ended:
            self._schedule(now_s)
        elif self._running:
            self._begin_step(now_s)

    def _advance_stream(self, now_s: float, stream: Stream) -> bool:
        """Advance one stream by a step; return whether it ended."""
        prefilled = stream.chunk_tokens
        stream.chunk_tokens = 0
        stream.prefill_left -= prefilled
        if stream.prefill_left:
            return False
        if prefilled:
            self._cache_prefix(now_s, stream.facts)
        stream.made_tokens += 1
        return stream.made_tokens >= stream.output_tokens

    def _cache_prefix(self, now_s: float, facts: PromptFacts) -> None:
        is_new = facts.blocks[0] not in self._cache
        self._cache[facts.blocks[0]] = facts
        self._cache.move_to_end(facts.blocks[0])
        if is_new:
            self._add_cache_event(now_s, facts.blocks[0])
        limit = self.settings.cache_tokens // BLOCK_TOKENS
        while sum(len(each.blocks) for each in self._cache.values()) > limit:
            self._add_cache_event(now_s, self._cache.popitem(last=False)[0])

    def _add_cache_event(self, now_s: float, digest: str) -> None:
        number = len(self._events) + 1
        cached = digest in self._cache
        self._events.append(CacheEvent(number, digest, cached, now_s))

    def _drop_unread(self, now_s: float) -> None:
        for stream_id, stream in tuple(self.streams.items()):
            if (
                not stream.readers
                and now_s - stream.unread_since_s > _MAX_UNREAD_S
            ):
                self.record.unread_drops += self._drop(stream_id)
                self._schedule(now_s)

    def _drop(self, stream_id: str) -> bool:
        """Remove a stream; return whether it was unfinished."""
        stream = self.streams.pop(stream_id)
        self._running = [each for each in self._running if each is not stream]
        self._waiting = [each for each in self._waiting if each is not stream]
        if not self._running:
            self.step_end_s = None
        return not stream.finish_reason

    def _save_snapshot(self, now_s: float) -> None:
        """Save the current state for later load reports, which lag."""
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
        self._discard_old_snapshots(now_s)

    def _discard_old_snapshots(self, now_s: float) -> None:
        reported_s = now_s - self.settings.load_lag_s
        while (
            len(self._snapshots) > 1 and self._snapshots[1].at_s <= reported_s
        ):
            self._snapshots.popleft()
