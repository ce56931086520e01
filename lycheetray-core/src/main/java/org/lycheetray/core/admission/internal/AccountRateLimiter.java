package org.lycheetray.core.admission.internal;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.admission.RateDecision;
import org.lycheetray.core.admission.RateEffect;
import org.lycheetray.core.admission.RateLimitStatus;
import org.lycheetray.core.admission.RateShare;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** Rate limiter of one client account at one VM: base share, loans, estimated demand and waiting requests. */
public final class AccountRateLimiter {
    private static final long TOKEN = RateShare.TOKEN;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    /** Rate requested from other VMs, and rate excluded from lending, as factors of the estimated demand. */
    private static final double REQUESTED_RATE_FACTOR = 1.2;

    private static final double RESERVED_RATE_FACTOR = 1.05;

    /**
     * Amounts of tokens, in seconds of estimated demand: the target of a prefetch, the low-water mark that starts a
     * prefetch, and the reserves excluded from lending.
     */
    private static final double PREFETCH_TARGET_SECONDS = 0.8;

    private static final double LOW_WATER_SECONDS = 0.3;
    private static final double RESERVED_SECONDS = 0.25;
    private static final double RESERVED_SECONDS_WHEN_URGENT = 0.03;

    /** Demand below which tokens are borrowed only when a request needs them. */
    private static final double MIN_PREFETCH_DEMAND_PER_SECOND = 2;

    private static final int MAX_PREFETCH_PEERS = 2;

    /** A loan request is for at least the burst of a holder divided by this number. */
    private static final int CHUNKS_PER_HOLDER = 8;

    /**
     * Time without prefetching, and without lending for prefetches, after an urgent loan request could not be met in
     * full.
     */
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
     * Creates the rate limiter of an account.
     *
     * @param context state shared by all accounts of this VM
     * @param name name of the account
     * @param total rate and burst of the account over the whole fleet
     * @param share this VM's base share
     * @param tokens initial micro-tokens of the base share
     * @param now current time
     */
    public AccountRateLimiter(
            VmContext context,
            ClientAccountName name,
            RateShare total,
            RateShare share,
            long tokens,
            MonotonicTime now) {
        this.context = context;
        this.name = name;
        this.total = total;
        this.loanIssuer = new LoanIssuer(context.options(), share, tokens, now);
        this.demand = new DemandEstimator(now);
        this.scarceUntil = now;
    }

    /**
     * Applies another configuration.
     *
     * @param newTotal rate and burst of the account over the whole fleet
     * @param share this VM's base share
     * @param holderCount number of VMs with a base share
     * @param peers VMs to borrow from, in order of preference
     * @param now current time
     */
    public void configure(RateShare newTotal, RateShare share, int holderCount, List<VmName> peers, MonotonicTime now) {
        refresh(now);
        total = newTotal;
        loanIssuer.setShare(share);
        candidates.clear();
        peers.stream().limit(MAX_CANDIDATES).forEach(candidates::add);
        holderBurst = newTotal.burst() / Math.max(1, holderCount);
        holderRate = newTotal.rate() / Math.max(1, holderCount);
    }

    /**
     * Replaces the base share.
     *
     * @param share this VM's base share
     * @param now current time
     */
    public void setShare(RateShare share, MonotonicTime now) {
        refresh(now);
        loanIssuer.setShare(share);
    }

    /**
     * Returns the base share as last set.
     *
     * @return the share, including amounts lent
     */
    public RateShare share() {
        return loanIssuer.share();
    }

    /**
     * Returns the total rate and capacity of the buckets that this VM may use.
     *
     * @param now current time
     * @return total rate and capacity
     */
    public RateShare held(MonotonicTime now) {
        refresh(now);
        return new RateShare(heldRate(), loanIssuer.bucket().capacity() + loanHolder.capacity());
    }

    /**
     * Returns whether loans granted under an earlier, larger share exceed the present share.
     *
     * @param now current time
     * @return true until enough loans were returned or have expired
     */
    public boolean hasExcessLoans(MonotonicTime now) {
        refresh(now);
        return loanIssuer.hasExcessLoans();
    }

    /**
     * Returns whether this state equals that of a newly created limiter with a full bucket, so that it can be dropped.
     *
     * @param now current time
     * @return true if the state is not needed
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
     * Decides whether to admit a request.
     *
     * @param deadline time after which the request need not be run any more
     * @param now current time
     * @param out receives the messages to send
     * @return the decision, possibly {@link RateDecision.Waiting}
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
        MonotonicTime waitEnd = now.plus(context.options().maxWait());
        Waiter waiter = new Waiter(context.nextNumber(), deadline.isBefore(waitEnd) ? deadline : waitEnd);
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
     * Handles a message from another VM.
     *
     * @param from sender
     * @param message the message
     * @param now current time
     * @param out receives the effects to perform
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

    private static long clamp(double value, long max) {
        return Math.max(0, Math.min((long) value, max));
    }

    private void onAnswer(LoanMessage.Answer m, MonotonicTime now) {
        Optional<PendingLoanRequests.Pending> pending = loanRequests.recordAnswer(m, now);
        if (pending.isEmpty()) {
            return;
        }
        m.largestBorrower().filter(v -> candidates.size() < MAX_CANDIDATES).ifPresent(candidates::add);
        MonotonicTime expiry = pending.get().sentAt.plus(context.options().loanPeriod());
        if (m.share().burst() > 0 && now.isBefore(expiry)) {
            TokenBucket b = new TokenBucket(m.share().rate(), m.share().burst(), m.tokens(), now);
            loanHolder.add(new HeldLoan(m.id(), pending.get().peer, b, now, expiry));
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
     * Performs periodic work: refuses requests that waited too long, and requests, extends and returns loans.
     *
     * @param now current time
     * @param out receives the effects to perform
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
     * Removes a waiting request whose caller has disconnected.
     *
     * @param ticket identifies the waiting request
     */
    public void cancel(long ticket) {
        waiters.removeIf(w -> w.ticket() == ticket);
    }

    /**
     * Returns all borrowed loans to their issuers before the process stops.
     *
     * @param out receives the messages to send
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

    /** Spreads the missing tokens over several peers, so that no bucket of a peer stays full and loses its refill. */
    private void requestLoans(long tokens, long rate, int maxPending, MonotonicTime now, List<RateEffect> out) {
        int room = Math.min(maxPending, MAX_LOANS - loanHolder.count()) - loanRequests.outstandingCount();
        if (tokens <= 0 || room <= 0) {
            return;
        }
        long defaultSpare = Math.max(TOKEN, holderBurst / 2);
        long chunk = Math.max(TOKEN, holderBurst / CHUNKS_PER_HOLDER);
        List<VmName> peers = loanRequests.availablePeers(reachableCandidates(), defaultSpare, now);
        long count = Math.min(Math.min(peers.size(), room), Math.ceilDiv(tokens, chunk));
        long each = Math.max(chunk, tokens / Math.max(1, count));
        long openRate = rate;
        for (VmName peer : peers.subList(0, (int) count)) {
            LoanId id = context.nextLoanId();
            boolean urgent = !waiters.isEmpty();
            out.add(new RateEffect.Send(peer, new LoanMessage.Request(id, name, each, openRate, urgent)));
            loanRequests.recordSent(id, peer, each, defaultSpare, now);
            openRate -= Math.min(openRate, holderRate);
        }
    }

    private List<VmName> reachableCandidates() {
        return candidates.stream().filter(context::isReachable).toList();
    }

    private void returnSurplusLoans(
            MonotonicTime now, Duration minHoldingTime, double secondsKept, List<RateEffect> out) {
        double needed = demand.perSecond(now) * TOKEN;
        for (HeldLoan loan : loanHolder.loans()) {
            boolean heldTooShort = now.since(loan.receivedAt).compareTo(minHoldingTime) < 0;
            boolean rateKept =
                    heldRate() - loan.bucket.rate() >= needed * RESERVED_RATE_FACTOR || loan.bucket.rate() == 0;
            double tokensKept = (double) TOKEN * waiters.size() + needed * secondsKept;
            if (!heldTooShort && rateKept && availableTokens() - loan.bucket.tokens() >= tokensKept) {
                returnLoan(loan, out);
            }
        }
    }

    /**
     * Returns loans without rate as soon as their tokens are spent, so that the bucket of the issuer has room to
     * refill.
     */
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
        loanIssuer.refresh(now);
        loanHolder.refresh(now);
        loanRequests.refresh(now, context.options().loanPeriod());
    }

    private long availableTokens() {
        return loanIssuer.bucket().tokens() + loanHolder.tokens();
    }

    private long heldRate() {
        return loanIssuer.bucket().rate() + loanHolder.rate();
    }

    private RateLimitStatus limits() {
        long rate = heldRate();
        long missing = TOKEN - availableTokens() % TOKEN;
        Duration reset = rate == 0 ? context.options().maxLoanLifetime() : seconds((double) missing / rate);
        return new RateLimitStatus(total.rate() / TOKEN, total.burst() / TOKEN, availableTokens() / TOKEN, reset);
    }

    private RateDecision refusal(MonotonicTime now) {
        return new RateDecision.Refused(RateDecision.Reason.OVER_RATE, retryAfter(now), limits());
    }

    /**
     * Returns the time after which this VM has a token of its own base share, or otherwise the time after which all
     * loans have expired and a token has accrued at their issuers.
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
        return context.options().maxLoanLifetime().plus(seconds((double) TOKEN / Math.max(1, total.rate())));
    }

    private static Duration seconds(double s) {
        return Duration.ofNanos((long) Math.ceil(Math.max(0, s) * NANOS_PER_SECOND));
    }

    /** A request that waits for a token until the given time. */
    private record Waiter(long ticket, MonotonicTime until) {}
}
