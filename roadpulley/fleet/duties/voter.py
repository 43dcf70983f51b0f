"""One voter: at most one grant at a time for each duty. Pure; all that it knows may be lost at any moment.

| asked   | found                                   | answers | and                                         |
| ------- | --------------------------------------- | ------- | ------------------------------------------- |
| any     | it may not speak yet                    | nothing | nothing                                     |
| any     | another roll than its own               | Refused | nothing                                     |
| Prepare | another process's grant runs            | Refused | nothing: who asks can't disturb who holds   |
| Prepare | a time to cool down runs                | Refused |                                             |
| Prepare | a ballot above the promise, or the same | Promise | remembers it                                |
| Prepare | a lower one                             | Refused |                                             |
| Accept  | another process's grant runs            | Refused |                                             |
| Accept  | a lease longer than the silence         | Refused |                                             |
| Accept  | the ballot that was promised            | Granted | the grant runs for a lease from now         |
| Accept  | a higher one, which is held             | Granted | so does it                                  |
| Accept  | any other                               | Refused |                                             |
| Release | the grant of this ballot                | nothing | it ends, and so does the ballot             |
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .terms import (
    MAX_ROUND,
    NO_BALLOT,
    NO_PROCESS,
    Accept,
    Ballot,
    LeaseGrant,
    LeaseRejection,
    LeaseTimes,
    MonotonicTime,
    Prepare,
    Promise,
    Release,
    VoterRequest,
    VoterResponse,
)

FIRST_COOL_S, LONGEST_COOL_S = 0.5, 60.0  # doubled with each holding in a row that failed
MOST_DUTIES = 4096  # of which a voter keeps something; more names are no duties of an installation
MOST_STEP = 2**44  # milliseconds in some 500 years: a round that leaps further is nobody's clock
BUSY_MS = 20  # told to who has lost against a higher ballot


@dataclass(slots=True)
class Kept:
    """Of one duty."""

    promised: Ballot = NO_BALLOT
    granted: Ballot = NO_BALLOT
    until: MonotonicTime = 0.0
    since: MonotonicTime = 0.0  # of the grant's ballot
    cool: MonotonicTime = 0.0  # until when nobody may begin
    failures: int = 0


@dataclass
class Voter:
    """`started`: when this process began, by its own clock; `floor`: no round at or below it is promised.

    Danger: a process that voted at once after its start might have granted the duty to another just before.
    """

    times: LeaseTimes
    started: MonotonicTime
    floor: int = 0
    config_id: tuple[int, int] = (0, 0)  # only what is asked under the same one is granted
    lost_memory: bool = True  # False: the installation begins, and nobody has asked for anything yet
    kept: dict[str, Kept] = field(default_factory=dict)

    def speaks_at(self) -> MonotonicTime:
        return self.started + self.times.silence if self.lost_memory else self.started

    def on(self, now: MonotonicTime, asked: VoterRequest) -> VoterResponse | None:
        """What a candidate of this installation asks; None: nothing is said."""
        if now < self.speaks_at():
            return None
        if asked.duty not in self.kept and len(self.kept) >= MOST_DUTIES:
            return None
        kept = self.kept.setdefault(asked.duty, Kept())
        if isinstance(asked, Release):
            self._release(now, kept, asked)
            return None
        if tuple(asked.config_id) != tuple(self.config_id):
            # Danger: a majority of one roll need not share a voter with a majority of any other.
            return LeaseRejection(asked.duty, asked.ballot, NO_PROCESS, 0, self._top(kept))
        if isinstance(asked, Accept) and not 0 < asked.lease_ms <= self.times.silence * 1000:
            # Danger: a grant that outlives the silence after a restart would be forgotten while it runs.
            return LeaseRejection(asked.duty, asked.ballot, NO_PROCESS, BUSY_MS, self._top(kept))
        if now < kept.until and kept.granted.who != asked.ballot.who:
            return self._no(now, kept, asked, kept.until)
        if isinstance(asked, Prepare) and now < kept.cool:
            return self._no(now, kept, asked, kept.cool)
        if not self._may(kept, asked):
            return self._no(now, kept, asked, now)
        kept.promised = asked.ballot
        if isinstance(asked, Prepare):
            return Promise(asked.duty, asked.ballot)
        if kept.granted != asked.ballot:
            kept.granted, kept.since = asked.ballot, now
        kept.until = now + asked.lease_ms / 1000
        return LeaseGrant(asked.duty, asked.ballot, asked.request_number)

    def highest(self) -> int:
        return max((k.promised.round for k in self.kept.values()), default=self.floor)

    def most(self) -> int:
        """The highest round that any duty's ballot may have here."""
        return min(MAX_ROUND, max(self.highest(), self.floor) + MOST_STEP)

    # ---- inside ----

    def _may(self, kept: Kept, asked: Prepare | Accept) -> bool:
        """Whether a ballot counts here. Two candidates never share a round, so that no two holdings do."""
        number = asked.ballot.round
        if asked.ballot == kept.promised:
            return True
        if isinstance(asked, Accept):
            # A voter that came back knows no ballot, and its floor may be above those that are held: it joins
            # them. Danger: an Accept that is no renewal, for a ballot not promised here, may be of a try that
            # was overtaken long ago.
            return asked.is_renewal and number > kept.promised.round
        # Danger: a round near the end of all numbers would leave none for the next holder.
        top = max(kept.promised.round, self.floor)
        return top < number <= min(MAX_ROUND, top + MOST_STEP)

    def _top(self, kept: Kept) -> int:
        return max(kept.promised.round, self.floor)

    def _no(
        self, now: MonotonicTime, kept: Kept, asked: Prepare | Accept, until: MonotonicTime
    ) -> LeaseRejection:
        holder = kept.granted.who if now < kept.until else NO_PROCESS
        left = max(0, int((until - now) * 1000) + 1) if until > now else BUSY_MS
        return LeaseRejection(asked.duty, asked.ballot, holder, left, self._top(kept))

    def _release(self, now: MonotonicTime, kept: Kept, asked: Release) -> None:
        if asked.ballot == kept.promised:
            # Danger: a renewal that comes after the release would have it held by nobody for a lease.
            kept.promised = Ballot(asked.ballot.round, NO_PROCESS)
        if asked.ballot != kept.granted or now >= kept.until:
            return
        kept.until = now
        if not asked.failed:
            kept.failures = 0
            return
        # Danger: work that fails wherever it is taken would travel round the fleet at full speed.
        kept.failures = 0 if now - kept.since > self.times.steady else kept.failures
        kept.cool = now + min(LONGEST_COOL_S, FIRST_COOL_S * 2.0 ** min(kept.failures, 30))
        kept.failures += 1
