package org.lycheetray.core.reach;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Tells which backend servers the local VM reaches by its own connections, apart from whether they are healthy.
 *
 * <p>A connection that can't be established may be the fault of the server or of the path. It is the path if another VM
 * gets an answer from the server, or if connections to servers of several data centres fail and none succeeds. A server
 * out of reach, or one of them while the VM is cut off, is checked from time to time by opening a connection, which is
 * then used for requests. Not thread-safe.
 */
public final class ServerReach {
    /** Number of servers to which connections fail, without one that succeeds, before others are checked. */
    private static final int MIN_FAILED_SERVERS = 2;

    /** Number of servers that are checked to find out whether the VM is cut off. */
    private static final int CHECKED_SERVERS = 3;

    /** Number of other servers that are compared with one that refuses connections. */
    private static final int COMPARED_SERVERS = 3;

    /** Minimum interval between two series of such checks. */
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Time without anything from any server, while requests are unanswered, after which a server is checked. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);

    /** Minimum interval between two checks because of silence, which a single slow request causes too. */
    private static final Duration SILENCE_CHECK_INTERVAL = Duration.ofSeconds(5);

    /** Interval of checks while the VM is cut off. */
    private static final Duration CUT_OFF_CHECK_INTERVAL = Duration.ofMillis(250);

    /** Interval of checks of one server that is out of reach. */
    private static final Duration SERVER_CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Time for which a failure is taken to last when another VM asks, or another VM would be asked. */
    private static final Duration FAILURE_MEMORY = Duration.ofSeconds(1);

    /** Maximum number of checks in progress. */
    private static final int MAX_CHECKS = 4;

    /** A server to which the last connection attempt failed. */
    private static final class FailedPath {
        private final MonotonicTime failedAt;
        private MonotonicTime checkedAt;
        private boolean answersOthers;
        private Optional<MonotonicTime> failedForOthersAt = Optional.empty();

        FailedPath(MonotonicTime now) {
            failedAt = now;
            checkedAt = now;
        }
    }

    private final RandomGenerator random;
    private final Map<BackendServerName, RegisteredServer> servers = new HashMap<>();
    private final Map<BackendServerName, FailedPath> failed = new HashMap<>();
    private final Set<BackendServerName> checks = new HashSet<>();
    private VmReach state;
    private MonotonicTime heardAt;
    private Optional<MonotonicTime> connectedAt = Optional.empty();
    private Optional<MonotonicTime> checkedAt = Optional.empty();
    private Optional<MonotonicTime> silenceCheckedAt = Optional.empty();
    private Optional<BackendServerName> silenceCheck = Optional.empty();

    /**
     * Creates an instance that knows no servers and takes the VM to reach them.
     *
     * @param random source of randomness for the choice of the servers to check
     * @param now current time
     */
    public ServerReach(RandomGenerator random, MonotonicTime now) {
        this.random = random;
        this.state = new VmReach.Reaching(now);
        this.heardAt = now;
    }

    /**
     * Replaces the registered servers.
     *
     * @param present all servers
     */
    public void updateServers(Collection<RegisteredServer> present) {
        servers.clear();
        present.forEach(s -> servers.put(s.name(), s));
        failed.keySet().retainAll(servers.keySet());
    }

    /**
     * Returns what is believed of the paths to all servers.
     *
     * @return the belief
     */
    public VmReach state() {
        return state;
    }

    /**
     * Returns whether the VM reaches no server.
     *
     * @return true while it is cut off
     */
    public boolean isCutOff() {
        return state instanceof VmReach.CutOff;
    }

    /**
     * Returns whether requests for a server should go through another VM.
     *
     * @param server the server
     * @return true if this VM is cut off, or does not reach the server from which another VM had an answer
     */
    public boolean isOutOfReach(BackendServerName server) {
        FailedPath p = failed.get(server);
        return isCutOff() || (p != null && p.answersOthers);
    }

    /**
     * Returns whether the next request for a server should go through another VM, if one is found.
     *
     * @param server the server
     * @param now current time
     * @return true if the server is out of reach, or the last connection to it failed and no other VM has failed since
     */
    public boolean prefersOthers(BackendServerName server, MonotonicTime now) {
        return isOutOfReach(server) || (failed.containsKey(server) && !hasFailedForOthers(server, now));
    }

    /**
     * Returns whether the paths of this VM may be at fault.
     *
     * @return true while they are checked or cut off
     */
    public boolean isInDoubt() {
        return !(state instanceof VmReach.Reaching);
    }

    /**
     * Returns the number of servers that are out of reach although the VM reaches others.
     *
     * @return number of servers
     */
    public int outOfReachCount() {
        return (int) failed.values().stream().filter(p -> p.answersOthers).count();
    }

    /**
     * Records that a connection to a server was established, which ends a cut.
     *
     * @param server the server
     * @param now current time
     */
    public void recordConnected(BackendServerName server, MonotonicTime now) {
        checks.remove(server);
        failed.remove(server);
        silenceCheck = silenceCheck.filter(n -> !n.equals(server));
        heardAt = now;
        connectedAt = Optional.of(now);
        if (!(state instanceof VmReach.Reaching)) {
            if (isCutOff()) {
                failed.clear();
            }
            state = new VmReach.Reaching(now);
        }
    }

    /**
     * Records that a server has answered on a connection of this VM. It does not show that a new connection would be
     * established.
     *
     * @param now current time
     */
    public void recordAnswered(MonotonicTime now) {
        heardAt = now;
    }

    /**
     * Records that another VM had an answer from a server to which this VM could not connect.
     *
     * @param server the server
     */
    public void recordAnsweredOthers(BackendServerName server) {
        FailedPath p = failed.get(server);
        if (p != null) {
            p.answersOthers = true;
        }
    }

    /**
     * Records that another VM could not connect to a server either.
     *
     * @param server the server
     * @param now current time
     */
    public void recordFailedForOthers(BackendServerName server, MonotonicTime now) {
        FailedPath p = failed.get(server);
        if (p != null) {
            p.answersOthers = false;
            p.failedForOthersAt = Optional.of(now);
        }
    }

    /**
     * Returns whether another VM failed to connect to a server too, so recently that no further one should be asked.
     *
     * @param server the server
     * @param now current time
     * @return true for a short time after the failure of the other VM
     */
    public boolean hasFailedForOthers(BackendServerName server, MonotonicTime now) {
        return Optional.ofNullable(failed.get(server))
                .flatMap(p -> p.failedForOthersAt)
                .filter(t -> now.since(t).compareTo(FAILURE_MEMORY) < 0)
                .isPresent();
    }

    /**
     * Returns whether this VM failed to connect to a server, so recently that another attempt is not worth its time.
     *
     * @param server the server
     * @param now current time
     * @return true for a short time after the failure, unless a connection was established since
     */
    public boolean hasFailedRecently(BackendServerName server, MonotonicTime now) {
        return isCutOff()
                || Optional.ofNullable(failed.get(server))
                        .filter(p -> now.since(p.failedAt).compareTo(FAILURE_MEMORY) < 0)
                        .isPresent();
    }

    /**
     * Records that a connection to a server could not be established; ignored for one that is no longer registered.
     *
     * @param server the server
     * @param now current time
     */
    public void recordConnectFailed(BackendServerName server, MonotonicTime now) {
        checks.remove(server);
        boolean silent = silenceCheck.filter(server::equals).isPresent();
        silenceCheck = silent ? Optional.empty() : silenceCheck;
        if (!servers.containsKey(server)) {
            return;
        }
        FailedPath before = failed.get(server);
        FailedPath p = new FailedPath(now);
        if (before != null) {
            p.answersOthers = before.answersOthers;
            p.failedForOthersAt = before.failedForOthersAt;
        }
        failed.put(server, p);
        switch (state) {
            case VmReach.Reaching r -> startCheckingIfSeveralFail(p.answersOthers, silent, now);
            case VmReach.Checking c -> {
                if (c.unanswered() > 0) {
                    state = checks.isEmpty()
                            ? new VmReach.CutOff(now, failedSinceConnected())
                            : new VmReach.Checking(c.since(), checks.size());
                }
            }
            case VmReach.CutOff c -> {}
        }
    }

    private void startCheckingIfSeveralFail(boolean knownOutOfReach, boolean silent, MonotonicTime now) {
        boolean several = !knownOutOfReach && failedSinceConnected() >= Math.min(MIN_FAILED_SERVERS, servers.size());
        boolean recentlyChecked = checkedAt
                .filter(t -> now.since(t).compareTo(CHECK_INTERVAL) < 0)
                .isPresent();
        if ((several || silent) && !recentlyChecked) {
            checkedAt = Optional.of(now);
            state = new VmReach.Checking(now, 0);
        }
    }

    private int failedSinceConnected() {
        return (int) failed.values().stream()
                .filter(p -> connectedAt.isEmpty() || !p.failedAt.isBefore(connectedAt.get()))
                .count();
    }

    /**
     * Returns the servers to which a connection should be opened now to check whether they are in reach. Each check ends
     * with {@link #recordConnected} or {@link #recordConnectFailed}.
     *
     * @param oldestUnanswered server and start of the oldest request that is unanswered on a connection of this VM
     * @param now current time
     * @return the servers, each of which counts as being checked
     */
    public List<RegisteredServer> takeChecks(Optional<UnansweredRequest> oldestUnanswered, MonotonicTime now) {
        List<RegisteredServer> due = switch (state) {
            case VmReach.Reaching r -> dueWhileReaching(oldestUnanswered, now);
            case VmReach.Checking c -> c.unanswered() == 0 ? startChecks(c, now) : List.of();
            case VmReach.CutOff c -> dueWhileCutOff(now);
        };
        due.forEach(s -> checks.add(s.name()));
        return due;
    }

    private List<RegisteredServer> dueWhileReaching(Optional<UnansweredRequest> oldest, MonotonicTime now) {
        List<RegisteredServer> due = new ArrayList<>();
        failed.forEach((name, p) -> {
            if (p.answersOthers
                    && checks.size() + due.size() < MAX_CHECKS
                    && !checks.contains(name)
                    && now.since(p.checkedAt).compareTo(SERVER_CHECK_INTERVAL) >= 0) {
                p.checkedAt = now;
                due.add(servers.get(name));
            }
        });
        oldest.filter(o -> isSilent(o, now)).map(o -> servers.get(o.server())).ifPresent(s -> {
            silenceCheckedAt = Optional.of(now);
            silenceCheck = Optional.of(s.name());
            due.add(s);
        });
        return due;
    }

    private boolean isSilent(UnansweredRequest oldest, MonotonicTime now) {
        MonotonicTime silentSince = heardAt.isBefore(oldest.sentAt()) ? oldest.sentAt() : heardAt;
        return now.since(silentSince).compareTo(SILENCE_TIMEOUT) >= 0
                && !checks.contains(oldest.server())
                && silenceCheckedAt
                        .filter(t -> now.since(t).compareTo(SILENCE_CHECK_INTERVAL) < 0)
                        .isEmpty();
    }

    /** Checks servers of different data centres that have not failed, those of data centres without failures first. */
    private List<RegisteredServer> startChecks(VmReach.Checking c, MonotonicTime now) {
        Set<DataCentreName> covered = new HashSet<>();
        failed.keySet().forEach(n -> covered.add(servers.get(n).dataCentre()));
        List<RegisteredServer> rest = shuffled(servers.values().stream()
                .filter(s -> !failed.containsKey(s.name()))
                .toList());
        List<RegisteredServer> due = new ArrayList<>();
        for (RegisteredServer s : rest) {
            if (due.size() < CHECKED_SERVERS && covered.add(s.dataCentre())) {
                due.add(s);
            }
        }
        for (RegisteredServer s : rest) {
            if (due.size() < CHECKED_SERVERS && !due.contains(s)) {
                due.add(s);
            }
        }
        checks.clear();
        state = due.isEmpty()
                ? new VmReach.CutOff(now, failedSinceConnected())
                : new VmReach.Checking(c.since(), due.size());
        return due;
    }

    private List<RegisteredServer> dueWhileCutOff(MonotonicTime now) {
        boolean recentlyChecked = checkedAt
                .filter(t -> now.since(t).compareTo(CUT_OFF_CHECK_INTERVAL) < 0)
                .isPresent();
        if (recentlyChecked || checks.size() >= MAX_CHECKS) {
            return List.of();
        }
        checkedAt = Optional.of(now);
        return shuffled(servers.values()).stream()
                .filter(s -> !checks.contains(s.name()))
                .limit(1)
                .toList();
    }

    private List<RegisteredServer> shuffled(Collection<RegisteredServer> list) {
        List<RegisteredServer> result = new ArrayList<>(list);
        for (int i = result.size() - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            RegisteredServer s = result.get(i);
            result.set(i, result.get(j));
            result.set(j, s);
        }
        return result;
    }

    /**
     * Returns other servers whose reach tells a crash of a server from a cut: if the connections to all of them fail too,
     * the path is at fault. They are several, because one may have crashed at the same time.
     *
     * @param server the server that refuses connections
     * @return up to three servers of the same data centre, or of others if it is the only one there; those to which the
     *     last connection failed only if there are no others; empty if it is the only server
     */
    public List<RegisteredServer> otherServers(RegisteredServer server) {
        List<RegisteredServer> all = shuffled(servers.values().stream()
                .filter(s -> !s.name().equals(server.name()))
                .toList());
        List<RegisteredServer> reached =
                all.stream().filter(s -> !failed.containsKey(s.name())).toList();
        List<RegisteredServer> others = reached.isEmpty() ? all : reached;
        List<RegisteredServer> near = others.stream()
                .filter(s -> s.dataCentre().equals(server.dataCentre()))
                .toList();
        return (near.isEmpty() ? others : near).stream().limit(COMPARED_SERVERS).toList();
    }

    /**
     * A request that was sent on a connection of this VM and is not answered.
     *
     * @param server the server
     * @param sentAt time of sending
     */
    public record UnansweredRequest(BackendServerName server, MonotonicTime sentAt) {}
}
