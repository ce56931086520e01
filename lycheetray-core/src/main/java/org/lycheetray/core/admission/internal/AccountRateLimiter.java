package org.lycheetray.core.admission.internal;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.admission.Limits;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.admission.RateDecision;
import org.lycheetray.core.admission.RateEffect;
import org.lycheetray.core.admission.RateShare;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** One client account at one VM: its base share, the loans it holds, its demand and the requests that wait. */
public final class AccountRateLimiter {
    private static final long TOKEN = RateShare.TOKEN;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    /** Rate that is asked for, and kept back from lending, in relation to the estimated demand. */
    private static final double REQUESTED_RATE_FACTOR = 1.2;

    private static final double RESERVED_RATE_FACTOR = 1.05;

    /** Tokens that are asked for, the least that is held before more are asked for, and what is kept from lending. */
    private static final double PREFETCH_TARGET_SECONDS = 0.8;

    private static final double LOW_WATER_SECONDS = 0.3;
    private static final double RESERVED_SECONDS = 0.25;
    private static final double RESERVED_SECONDS_WHEN_URGENT = 0.03;

    /** Below this demand a token is asked for only when a request needs it. */
    private static final double MIN_PREFETCH_DEMAND_PER_SECOND = 2;

    private static final int MAX_PREFETCH_PEERS = 2;

    /** A request is for at least such a part of a holder's burst. */
    private static final int CHUNKS_PER_HOLDER = 8;

    /** Time after an urgent request that could not be met in which nothing is asked for, or lent, ahead of need. */
    private static final Duration SCARCITY_PERIOD = Duration.ofMillis(500);

    private static final int MAX_LOANS = 48;
    private static final int MAX_CANDIDATES = 48;
    private static final Duration MIN_HOLDING_TIME = Duration.ofMillis(400);
    private static final Duration EXTENSION_RETRY_INTERVAL = Duration.ofMillis(300);

    private final VmContext context;
    private final ClientAccountName name;
    private final LoanIssuer loanIssuer;
    private final LoanHolder loanHolder = new LoanHolder();
    private final PendingLoanRequests loanRequests = new PendingLoanRequests();
    private final DemandEstimator demand;
    private final ArrayDeque<Waiter> waiters = new ArrayDeque<>();
    private final Set<VmName> candidates = new LinkedHashSet<>();
    private RateShare total;
    private MonotonicTime scarceUntil;
    private long holderBurst;
    private long holderRate;

    /**
     * Creates the state.
     *
     * @param vm what the accounts of this VM have in common
     * @param name name of the account
     * @param whole the account's rate and burst over the whole fleet
     * @param share this VM's base share
     * @param tokens tokens of the base share at first
     * @param now present point
     */
    public AccountRateLimiter(
            VmContext vm, ClientAccountName name, RateShare whole, RateShare share, long tokens, MonotonicTime now) {
        this.context = vm;
        this.name = name;
        this.total = whole;
        this.loanIssuer = new LoanIssuer(vm.options(), share, tokens, now);
        this.demand = new DemandEstimator(now);
        this.scarceUntil = now;
    }

    /**
     * Takes over another configuration.
     *
     * @param w the account's rate and burst over the whole fleet
     * @param share this VM's base share
     * @param holderCount number of VMs with a base share
     * @param peers VMs to borrow from, those that are best to ask first
     * @param now present point
     */
    public void configure(RateShare w, RateShare share, int holderCount, List<VmName> peers, MonotonicTime now) {
        refresh(now);
        total = w;
        loanIssuer.setShare(share);
        candidates.clear();
        peers.stream().limit(MAX_CANDIDATES).forEach(candidates::add);
        holderBurst = w.burst() / Math.max(1, holderCount);
        holderRate = w.rate() / Math.max(1, holderCount);
    }

    /**
     * Changes the base share alone.
     *
     * @param share this VM's base share
     * @param now present point
     */
    public void setShare(RateShare share, MonotonicTime now) {
        refresh(now);
        loanIssuer.setShare(share);
    }

    /**
     * The base share as it was last set.
     *
     * @return the share, lent parts included
     */
    public RateShare share() {
        return loanIssuer.share();
    }

    /**
     * Sums up the buckets in use.
     *
     * @param now present point
     * @return rate and capacity
     */
    public RateShare held(MonotonicTime now) {
        refresh(now);
        return new RateShare(heldRate(), loanIssuer.bucket().capacity() + loanHolder.capacity());
    }

    /**
     * Tells whether loans granted under an earlier, greater share exceed the present one.
     *
     * @param now present point
     * @return true until they are back
     */
    public boolean hasExcessLoans(MonotonicTime now) {
        refresh(now);
        return loanIssuer.hasExcessLoans();
    }

    /**
     * Tells whether nothing is lost when the state is dropped and later created anew with a full bucket.
     *
     * @param now present point
     * @return true if so
     */
    public boolean isIdle(MonotonicTime now) {
        refresh(now);
        return waiters.isEmpty()
                && loanHolder.count() == 0
                && loanIssuer.loanCount() == 0
                && loanRequests.isEmpty()
                && loanIssuer.bucket().tokens() >= loanIssuer.share().burst()
                && demand.perSecond(now) < 1e-3;
    }

    /**
     * Decides on a request.
     *
     * @param deadline point at which the request is of no use any more
     * @param now present point
     * @param out receives messages to send
     * @return the decision, possibly to wait
     */
    public RateDecision admit(MonotonicTime deadline, MonotonicTime now, List<RateEffect> out) {
        refresh(now);
        demand.recordRequest(now);
        if (waiters.isEmpty() && tryTakeToken()) {
            prefetch(now, out);
            return new RateDecision.Admitted(limits());
        }
        if (waiters.size() >= maxWaiters() || !now.isBefore(deadline)) {
            return refusal(now);
        }
        MonotonicTime patienceEnd = now.plus(context.options().maxWait());
        Waiter waiter = new Waiter(context.nextNumber(), deadline.isBefore(patienceEnd) ? deadline : patienceEnd);
        waiters.add(waiter);
        requestLoansForWaiters(now, out);
        if (loanRequests.outstandingCount() == 0 && !canAccrueInTime(waiter, now)) {
            waiters.removeLast();
            return refusal(now);
        }
        return new RateDecision.Waiting(waiter.ticket());
    }

    private int maxWaiters() {
        double within = total.rate() * (context.options().maxWait().toNanos() / NANOS_PER_SECOND);
        return (int) Math.min(10_000, (total.burst() + within) / TOKEN + 1);
    }

    private boolean canAccrueInTime(Waiter waiter, MonotonicTime now) {
        double seconds = waiter.until().since(now).toNanos() / NANOS_PER_SECOND;
        return availableTokens() + heldRate() * seconds >= (double) TOKEN * waiters.size()
                && loanIssuer.bucket().capacity() + loanHolder.capacity() >= TOKEN;
    }

    private boolean tryTakeToken() {
        if (availableTokens() < TOKEN) {
            return false;
        }
        long taken = loanHolder.take(TOKEN);
        loanIssuer.bucket().take(TOKEN - taken);
        return true;
    }

    /**
     * Handles a message of another VM.
     *
     * @param from sender
     * @param message the message
     * @param now present point
     * @param out receives what follows from it
     */
    public void onMessage(VmName from, LoanMessage message, MonotonicTime now, List<RateEffect> out) {
        refresh(now);
        switch (message) {
            case LoanMessage.Request m -> onRequest(from, m, now, out);
            case LoanMessage.Answer m -> onAnswer(m, now);
            case LoanMessage.Extend m -> onExtend(from, m, now, out);
            case LoanMessage.Extended m -> onExtended(m);
            case LoanMessage.Return m -> loanIssuer.acceptReturn(m.id(), m.tokens());
        }
        serveWaiters(now, out);
        returnSpentLoans(out);
    }

    private void onRequest(VmName from, LoanMessage.Request m, MonotonicTime now, List<RateEffect> out) {
        Optional<LoanMessage.Answer> earlier = loanIssuer.earlierAnswer(m.id());
        if (earlier.isPresent()) {
            out.add(new RateEffect.Send(from, earlier.get()));
            return;
        }
        loanRequests.recordRequestFrom(from, now);
        LoanMessage.Answer answer = answerTo(from, m, now);
        if (answer.share().burst() > 0) {
            loanIssuer.lend(from, answer, now);
        }
        out.add(new RateEffect.Send(from, answer));
        if (answer.tokens() < m.tokens()) {
            scarceUntil = m.urgent() ? now.plus(SCARCITY_PERIOD) : scarceUntil;
            returnSurplusLoans(now, Duration.ZERO, m.urgent() ? RESERVED_SECONDS_WHEN_URGENT : LOW_WATER_SECONDS, out);
        }
    }

    private LoanMessage.Answer answerTo(VmName from, LoanMessage.Request m, MonotonicTime now) {
        TokenBucket b = loanIssuer.bucket();
        if (!m.urgent() && now.isBefore(scarceUntil)) {
            return new LoanMessage.Answer(m.id(), name, RateShare.NONE, 0, 0, loanIssuer.largestBorrower(from));
        }
        double needed = demand.perSecond(now) * TOKEN;
        double tokensKept =
                TOKEN * waiters.size() + needed * (m.urgent() ? RESERVED_SECONDS_WHEN_URGENT : RESERVED_SECONDS);
        long spareRate = clamp(heldRate() - needed * RESERVED_RATE_FACTOR, b.rate());
        long spareTokens = clamp(availableTokens() - tokensKept, b.tokens());
        long rate = Math.min(m.rate(), spareRate);
        double part = b.rate() == 0 ? 0 : (double) rate / b.rate();
        long tokens = Math.min(spareTokens, Math.max(m.tokens(), (long) (part * b.tokens())));
        long freeCapacity = b.capacity() - (b.tokens() - tokens);
        long burst = Math.min(freeCapacity, Math.max(tokens, (long) (part * b.capacity())));
        if (burst == 0) {
            rate = 0;
        }
        return new LoanMessage.Answer(
                m.id(),
                name,
                new RateShare(rate, burst),
                tokens,
                spareTokens - tokens,
                loanIssuer.largestBorrower(from));
    }

    private static long clamp(double value, long most) {
        return Math.max(0, Math.min((long) value, most));
    }

    private void onAnswer(LoanMessage.Answer m, MonotonicTime now) {
        Optional<PendingLoanRequests.Pending> pending = loanRequests.recordAnswer(m, now);
        if (pending.isEmpty()) {
            return;
        }
        m.largestBorrower().filter(v -> candidates.size() < MAX_CANDIDATES).ifPresent(candidates::add);
        MonotonicTime lapse = pending.get().sentAt.plus(context.options().loanPeriod());
        if (m.share().burst() > 0 && now.isBefore(lapse)) {
            TokenBucket b = new TokenBucket(m.share().rate(), m.share().burst(), m.tokens(), now);
            loanHolder.add(new HeldLoan(m.id(), pending.get().peer, b, now, lapse));
        }
    }

    private void onExtend(VmName from, LoanMessage.Extend m, MonotonicTime now, List<RateEffect> out) {
        if (loanIssuer.extend(m.id(), now)) {
            out.add(new RateEffect.Send(from, new LoanMessage.Extended(m.id(), name, m.number())));
        }
    }

    private void onExtended(LoanMessage.Extended m) {
        loanHolder
                .find(m.id())
                .ifPresent(l -> l.confirmExtension(m.number(), context.options().loanPeriod()));
        loanHolder.sortByExpiry();
    }

    /**
     * Does what is due: refuses requests that waited too long, asks again, extends and returns loans.
     *
     * @param now present point
     * @param out receives what follows
     */
    public void tick(MonotonicTime now, List<RateEffect> out) {
        refresh(now);
        serveWaiters(now, out);
        returnSpentLoans(out);
        returnSurplusLoans(now, MIN_HOLDING_TIME, LOW_WATER_SECONDS, out);
        extendLoans(now, out);
        prefetch(now, out);
    }

    /**
     * Withdraws a request whose caller has gone.
     *
     * @param ticket names the waiting request
     */
    public void cancel(long ticket) {
        waiters.removeIf(w -> w.ticket() == ticket);
    }

    /**
     * Returns all loans, before the process ends.
     *
     * @param out receives the messages
     */
    public void returnAllLoans(List<RateEffect> out) {
        loanHolder.loans().forEach(l -> returnLoan(l, out));
    }

    private void serveWaiters(MonotonicTime now, List<RateEffect> out) {
        while (!waiters.isEmpty() && now.isBefore(waiters.getFirst().until()) && tryTakeToken()) {
            out.add(new RateEffect.Decided(waiters.removeFirst().ticket(), new RateDecision.Admitted(limits())));
        }
        waiters.removeIf(w -> refuseIfExpired(w, now, out));
        if (!waiters.isEmpty()) {
            requestLoansForWaiters(now, out);
        }
    }

    private boolean refuseIfExpired(Waiter w, MonotonicTime now, List<RateEffect> out) {
        boolean expired = !now.isBefore(w.until());
        if (expired) {
            out.add(new RateEffect.Decided(w.ticket(), refusal(now)));
        }
        return expired;
    }

    private void requestLoansForWaiters(MonotonicTime now, List<RateEffect> out) {
        double needed = demand.perSecond(now) * TOKEN;
        long tokens = TOKEN * waiters.size() + (long) (needed * LOW_WATER_SECONDS) - availableTokens();
        long rate = Math.max(0, (long) (needed * REQUESTED_RATE_FACTOR) - heldRate());
        requestLoans(
                tokens - loanRequests.outstandingTokens(),
                rate,
                context.options().maxPendingRequests(),
                now,
                out);
    }

    private void prefetch(MonotonicTime now, List<RateEffect> out) {
        double perSecond = demand.perSecond(now);
        if (perSecond < MIN_PREFETCH_DEMAND_PER_SECOND
                || !waiters.isEmpty()
                || loanRequests.outstandingCount() > 0
                || now.isBefore(scarceUntil)) {
            return;
        }
        double needed = perSecond * TOKEN;
        double shortfall = Math.max(0, needed - heldRate());
        if (availableTokens() < TOKEN + needed * LOW_WATER_SECONDS + shortfall * PREFETCH_TARGET_SECONDS) {
            long rate = Math.max(0, (long) (needed * REQUESTED_RATE_FACTOR) - heldRate());
            long tokens = TOKEN + (long) (needed * PREFETCH_TARGET_SECONDS) - availableTokens();
            requestLoans(Math.max(tokens, 1), rate, MAX_PREFETCH_PEERS, now, out);
        }
    }

    /** Spreads what is short over the peers that may have it, so that no peer's bucket stays full meanwhile. */
    private void requestLoans(long tokens, long rate, int parallel, MonotonicTime now, List<RateEffect> out) {
        int room = Math.min(parallel, MAX_LOANS - loanHolder.count()) - loanRequests.outstandingCount();
        if (tokens <= 0 || room <= 0) {
            return;
        }
        long guess = Math.max(TOKEN, holderBurst / 2);
        long chunk = Math.max(TOKEN, holderBurst / CHUNKS_PER_HOLDER);
        List<VmName> peers = loanRequests.availablePeers(reachableCandidates(), guess, now);
        long count = Math.min(Math.min(peers.size(), room), Math.ceilDiv(tokens, chunk));
        long each = Math.max(chunk, tokens / Math.max(1, count));
        long openRate = rate;
        for (VmName peer : peers.subList(0, (int) count)) {
            LoanId id = context.nextLoanId();
            boolean urgent = !waiters.isEmpty();
            out.add(new RateEffect.Send(peer, new LoanMessage.Request(id, name, each, openRate, urgent)));
            loanRequests.recordSent(id, peer, each, guess, now);
            openRate -= Math.min(openRate, holderRate);
        }
    }

    private List<VmName> reachableCandidates() {
        return candidates.stream().filter(context::isReachable).toList();
    }

    private void returnSurplusLoans(
            MonotonicTime now, Duration leastHolding, double secondsKept, List<RateEffect> out) {
        double needed = demand.perSecond(now) * TOKEN;
        for (HeldLoan loan : loanHolder.loans()) {
            boolean young = now.since(loan.receivedAt).compareTo(leastHolding) < 0;
            boolean rateKept =
                    heldRate() - loan.bucket.rate() >= needed * RESERVED_RATE_FACTOR || loan.bucket.rate() == 0;
            double tokensKept = (double) TOKEN * waiters.size() + needed * secondsKept;
            if (!young && rateKept && availableTokens() - loan.bucket.tokens() >= tokensKept) {
                returnLoan(loan, out);
            }
        }
    }

    /** Gives capacity back as soon as the tokens that came with it are spent, so that the lender's refill has room. */
    private void returnSpentLoans(List<RateEffect> out) {
        for (HeldLoan loan : loanHolder.loans()) {
            if (loan.bucket.rate() == 0 && loan.bucket.tokens() == 0) {
                returnLoan(loan, out);
            }
        }
    }

    private void returnLoan(HeldLoan loan, List<RateEffect> out) {
        loanHolder.remove(loan);
        out.add(new RateEffect.Send(loan.lender, new LoanMessage.Return(loan.id, name, loan.bucket.tokens())));
    }

    private void extendLoans(MonotonicTime now, List<RateEffect> out) {
        Duration before = context.options().loanPeriod().dividedBy(2);
        for (HeldLoan loan : loanHolder.loans()) {
            if (loan.isExtensionDue(now, before, EXTENSION_RETRY_INTERVAL)) {
                out.add(new RateEffect.Send(
                        loan.lender, new LoanMessage.Extend(loan.id, name, loan.startExtension(now))));
            }
        }
    }

    private void refresh(MonotonicTime now) {
        loanIssuer.removeExpired(now);
        loanHolder.refresh(now);
        loanRequests.refresh(now, context.options().loanPeriod());
    }

    private long availableTokens() {
        return loanIssuer.bucket().tokens() + loanHolder.tokens();
    }

    private long heldRate() {
        return loanIssuer.bucket().rate() + loanHolder.rate();
    }

    private Limits limits() {
        long rate = heldRate();
        long missing = TOKEN - availableTokens() % TOKEN;
        Duration reset = rate == 0 ? context.options().rest() : seconds((double) missing / rate);
        return new Limits(total.rate() / TOKEN, total.burst() / TOKEN, availableTokens() / TOKEN, reset);
    }

    private RateDecision refusal(MonotonicTime now) {
        return new RateDecision.Refused(RateDecision.Reason.OVER_RATE, retryAfter(now), limits());
    }

    /**
     * Time after which this VM has a token of its own base share, or else after which all loans are back at their
     * lenders and enough has accrued there.
     */
    private Duration retryAfter(MonotonicTime now) {
        TokenBucket b = loanIssuer.bucket();
        RateShare share = loanIssuer.share();
        if (b.capacity() >= TOKEN && b.rate() > 0) {
            return seconds((double) (TOKEN - b.tokens()) / b.rate());
        }
        if (share.burst() >= TOKEN && share.rate() > 0) {
            Duration back = loanIssuer.latestExpiry().map(t -> t.since(now)).orElse(Duration.ZERO);
            return back.plus(seconds((double) TOKEN / share.rate()));
        }
        return context.options().rest().plus(seconds((double) TOKEN / Math.max(1, total.rate())));
    }

    private static Duration seconds(double s) {
        return Duration.ofNanos((long) Math.ceil(Math.max(0, s) * NANOS_PER_SECOND));
    }

    /** A request that waits for a token until a point in time. */
    private record Waiter(long ticket, MonotonicTime until) {}
}
