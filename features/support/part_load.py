"""Streams with shared prompt parts, sent through all instances of a fleet."""

import threading
from collections import Counter
from collections.abc import Sequence
from itertools import cycle
from time import monotonic, sleep
from typing import Any, Final, final

import msgspec

from features.standins.users_platform import event

from .relay_fleet import CallerAnswer, RelayFleet

__all__ = ('FULL_STREAM', 'PartLoad', 'SentPrompt')

FULL_STREAM: Final = b''.join(event(number) for number in range(1, 6))
_SOUND_INTERVAL_S: Final = 0.03
_DEADLY_INTERVAL_S: Final = 0.3
_CRASH_INTERVAL_S: Final = 1.5
_DOWN_S: Final = 1.0
_OWN_PART: Final = 'e{number:x}:500'


@final
class SentPrompt(msgspec.Struct, frozen=True):
    """A request and its answer; ``part`` is its last shared part."""

    request: str
    part: str
    sent_s: float
    answer: CallerAnswer

    @property
    def is_served(self) -> bool:
        """Return whether the caller got the whole stream."""
        return self.answer.status == 200 and self.answer.body == FULL_STREAM


@final
class PartLoad:
    """Sends sound and deadly streams at a fixed rate; for the main thread.

    A late prompt is made up for, so that the rate holds on a busy machine.

    :param sound: shared parts of the sound prompts, used in turn.
    :param deadly: shared parts of the prompts that crash engines. Each of
        them is sent once in each interval, at different times, so that none
        meets only engines which another one crashes.
    :param deadly_parts: the parts that crash engines, if they aren't the last.
    :ivar sound_parts: last shared part of the sound prompts.
    :ivar sent: the requests that have ended.
    :ivar crashes: crashes seen so far, by the port of the engine.
    :ivar arrivals: requests that have reached engines, by port.
    """

    def __init__(
        self,
        fleet: RelayFleet,
        sound: Sequence[str],
        deadly: Sequence[str],
        deadly_parts: Sequence[str] = (),
    ) -> None:
        """Make the deadly parts crash all engines of the fleet."""
        self._fleet = fleet
        self._sound = cycle(sound)
        self._deadly = deadly
        self.deadly_parts = deadly_parts or [
            _last_part(shared) for shared in deadly
        ]
        self.sound_parts = [_last_part(shared) for shared in sound]
        self.sent: list[SentPrompt] = []
        self.crashes: dict[int, Any] = {}
        self.arrivals: dict[int, Any] = {}
        self._due_s = 0.0
        self._callers: list[threading.Thread] = []
        self._names = {
            shared: cycle(fleet.instances) for shared in (*sound, *deadly)
        }
        for port in fleet.engines:
            fleet.fault(
                port, fault='deadly', parts=self.deadly_parts, delay_s=_DOWN_S
            )

    def run_sound(self, for_s: float) -> None:
        """Send only sound prompts for a time."""
        self._due_s = monotonic()
        until_s = self._due_s + for_s
        while monotonic() < until_s:
            self._send_next_sound()

    def run_batch(self, count: int) -> list[SentPrompt]:
        """Send a number of sound prompts, and return them with their answers.

        It waits for all requests that were sent before.
        """
        self._join()
        sent_before = len(self.sent)
        self._due_s = monotonic()
        for _ in range(count):
            self._send_next_sound()
        self._join()
        return self.sent[sent_before:]

    def run_deadly_past_fifth_crash(
        self, for_s: float, timeout_s: float
    ) -> None:
        """Send only deadly prompts until ``for_s`` after the fifth crash."""
        began_s = monotonic()
        deadly = cycle(self._deadly)
        while monotonic() < began_s + timeout_s:
            self._send(next(deadly))
            self.poll()
            limits_s = [self.limit_s(part) for part in self.deadly_parts]
            if monotonic() > max(limits_s) + for_s:
                return
            sleep(_DEADLY_INTERVAL_S)
        raise AssertionError(f'timed out: {self.crashes}')

    def run_past_fifth_crash(
        self, for_s: float, timeout_s: float, *, has_other_crashes: bool
    ) -> None:
        """Send both kinds until ``for_s`` after each part's fifth crash.

        :param has_other_crashes: the busiest engine also crashes from time to
            time without a request.
        """
        began_s = monotonic()
        self._due_s = began_s
        deadly = cycle(self._deadly)
        deadly_s = began_s
        crash_s = began_s
        while True:
            self._send_next_sound()
            now_s = monotonic()
            if now_s >= deadly_s:
                deadly_s += _DEADLY_INTERVAL_S / len(self._deadly)
                self._send(next(deadly))
                self.poll()
                limits_s = [self.limit_s(part) for part in self.deadly_parts]
                if now_s > max(limits_s) + for_s:
                    return
            if has_other_crashes and now_s >= crash_s:
                crash_s += _CRASH_INTERVAL_S
                self._fleet.crash(self._busiest(now_s), _DOWN_S)
            assert now_s < began_s + timeout_s, f'timed out: {self.crashes}'

    def limit_s(self, part: str) -> float:
        """Return the time of the fifth crash by ``part``, or of the last.

        Without a crash it is infinite.
        """
        times_s = sorted(
            each['at_s']
            for crashes in self.crashes.values()
            for each in crashes
            if each['part'] == part
        )
        return times_s[:5][-1] if times_s else float('inf')

    def poll(self) -> None:
        """Read the facts of the engines that are up."""
        for port in self._fleet.engines:
            try:
                facts = self._fleet.facts(port)
            except OSError:
                continue
            self.crashes[port] = facts['crashes']
            self.arrivals[port] = facts['arrivals']

    def finish(self) -> None:
        """Wait until all requests have ended and all engines are up."""
        self._join()
        for port in self._fleet.engines:
            self._fleet.wait_until(
                lambda asked=port: self._is_up(asked), f'{port} is up'
            )
        self.poll()

    def _join(self) -> None:
        for caller in self._callers:
            caller.join()
        self._callers.clear()

    def send_now(self, name: str, shared: str) -> SentPrompt:
        """Send one request to an instance and return it with its answer."""
        request = self._fleet.next_id()
        return self._exchange(name, shared, request)

    def _busiest(self, now_s: float) -> int:
        """Return the port of the engine that got most of the last requests."""
        recent = Counter(
            port
            for port, arrivals in self.arrivals.items()
            for each in arrivals
            if each['at_s'] > now_s - 1
        )
        return max(self._fleet.engines, key=recent.__getitem__)

    def _send_next_sound(self) -> None:
        """Wait until the next sound prompt is due and send it."""
        sleep(max(self._due_s - monotonic(), 0))
        self._due_s += _SOUND_INTERVAL_S
        self._send(next(self._sound))

    def _send(self, shared: str) -> None:
        caller = threading.Thread(
            target=self._exchange,
            args=(next(self._names[shared]), shared, self._fleet.next_id()),
        )
        caller.start()
        self._callers.append(caller)

    def _exchange(self, name: str, shared: str, request: str) -> SentPrompt:
        number = int(request.rpartition('-')[2])
        sent_s = monotonic()
        answer = self._fleet.send_request(
            name,
            '/draft/x',
            request=request,
            Token_Count='1000,100',
            Model_Id='m',
            Prompt_Prefix=f'{shared},{_OWN_PART.format(number=number)}',
        )
        sent = SentPrompt(request, _last_part(shared), sent_s, answer)
        self.sent.append(sent)
        return sent

    def _is_up(self, port: int) -> bool:
        try:
            self._fleet.facts(port)
        except OSError:
            return False
        return True


def _last_part(shared: str) -> str:
    return shared.split(',')[-1].partition(':')[0]
