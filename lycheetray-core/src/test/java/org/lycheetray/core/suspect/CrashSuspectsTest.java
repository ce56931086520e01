package org.lycheetray.core.suspect;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.time.MonotonicTime;

class CrashSuspectsTest {
    private static final Duration ARRIVAL_INTERVAL = Duration.ofMillis(1_500);
    private static final Duration REPORT_DELAY = Duration.ofMillis(50);

    /** Time after the third crash from which on repeats are counted. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    private MonotonicTime now = MonotonicTime.ZERO;
    private int serverNumber;

    private static RequestFingerprint request(String target) {
        return new RequestFingerprint(
                "GET", "host", target, Optional.of(new ClientAccountName("acme")), new byte[] {1, 2, 3});
    }

    private void advance(Duration d) {
        now = now.plus(d);
    }

    /** Records a crash of a server that has not crashed before. */
    private void crash(CrashSuspects suspects, String target) {
        suspects.recordCrash(new BackendServerName("s-" + serverNumber++), 1, request(target), now);
    }

    private SuspectVerdict verdict(CrashSuspects suspects, String target) {
        return suspects.admit(request(target), now);
    }

    @Test
    void requestThatCrashedOneServerMayBeRepeated() {
        CrashSuspects suspects = new CrashSuspects();
        crash(suspects, "/bad");

        assertThat(suspects.mayRepeat(request("/bad"))).isTrue();
        assertThat(verdict(suspects, "/bad")).isInstanceOf(SuspectVerdict.Unsuspected.class);
    }

    @Test
    void requestThatCrashedTwoServersIsNotRepeated() {
        CrashSuspects suspects = new CrashSuspects();
        crash(suspects, "/bad");
        crash(suspects, "/bad");

        assertThat(suspects.mayRepeat(request("/bad"))).isFalse();
        assertThat(suspects.mayRepeat(request("/good"))).isTrue();
        assertThat(verdict(suspects, "/bad")).isEqualTo(new SuspectVerdict.NoRepeat(2));
    }

    @Test
    void requestThatCrashedThreeServersIsTriedOnceAfterEachQuarantine() {
        CrashSuspects suspects = new CrashSuspects();
        crash(suspects, "/bad");
        crash(suspects, "/bad");
        crash(suspects, "/bad");

        assertThat(verdict(suspects, "/bad"))
                .isEqualTo(new SuspectVerdict.Quarantined(3, CrashSuspects.BASE_QUARANTINE));
        advance(CrashSuspects.BASE_QUARANTINE);
        assertThat(verdict(suspects, "/bad")).isEqualTo(new SuspectVerdict.Trial(3));
        assertThat(verdict(suspects, "/bad")).isInstanceOf(SuspectVerdict.Quarantined.class);
        crash(suspects, "/bad");
        advance(CrashSuspects.BASE_QUARANTINE);
        assertThat(verdict(suspects, "/bad"))
                .isEqualTo(new SuspectVerdict.Quarantined(4, CrashSuspects.BASE_QUARANTINE));
    }

    @Test
    void requestsThatDifferInAnyPartAreToldApart() {
        CrashSuspects suspects = new CrashSuspects();
        for (int i = 0; i < 3; i++) {
            crash(suspects, "/bad");
        }
        Optional<ClientAccountName> acme = Optional.of(new ClientAccountName("acme"));
        byte[] body = {1, 2, 3};

        assertThat(List.of(
                        new RequestFingerprint("POST", "host", "/bad", acme, body),
                        new RequestFingerprint("GET", "other", "/bad", acme, body),
                        new RequestFingerprint("GET", "host", "/bad?x", acme, body),
                        new RequestFingerprint("GET", "host", "/bad", Optional.empty(), body),
                        new RequestFingerprint("GET", "host", "/bad", acme, new byte[] {1, 2, 4})))
                .allSatisfy(r -> assertThat(suspects.admit(r, now)).isInstanceOf(SuspectVerdict.Unsuspected.class));
    }

    /** Guards against quarantining frequent requests that were in flight at crashes by chance. */
    @Test
    void answeredRequestIsNoSuspect() {
        CrashSuspects suspects = new CrashSuspects();
        crash(suspects, "/popular");
        crash(suspects, "/popular");
        advance(Duration.ofMillis(1));

        assertThat(suspects.recordAnswer(request("/popular"), now).orElseThrow().clears())
                .isTrue();
        crash(suspects, "/popular");

        assertThat(suspects.mayRepeat(request("/popular"))).isTrue();
    }

    @Test
    void answerSeenByAnotherVmClearsAndLateReportsOfEarlierCrashesAreIgnored() {
        CrashSuspects here = new CrashSuspects();
        for (int i = 0; i < 3; i++) {
            crash(here, "/bad");
        }
        List<SuspectRequest> early = here.takeReports(now);
        CrashSuspects other = new CrashSuspects();
        early.forEach(r -> other.applyReport(r, now));
        advance(Duration.ofSeconds(1));
        other.recordAnswer(request("/bad"), now);

        other.takeReports(now).forEach(r -> here.applyReport(r, now));
        assertThat(verdict(here, "/bad")).isInstanceOf(SuspectVerdict.Unsuspected.class);
        early.forEach(r -> here.applyReport(aged(r, Duration.ofSeconds(1)), now));
        assertThat(verdict(here, "/bad")).isInstanceOf(SuspectVerdict.Unsuspected.class);
    }

    private static SuspectRequest aged(SuspectRequest r, Duration by) {
        return new SuspectRequest(
                r.hash(),
                r.digest(),
                r.crashes().stream()
                        .map(c -> new SuspectRequest.Crash(
                                c.server(), c.incarnation(), c.age().plus(by)))
                        .toList(),
                r.answered(),
                r.trial());
    }

    @Test
    void crashSeenByTwoVmsCountsOnce() {
        CrashSuspects here = new CrashSuspects();
        CrashSuspects other = new CrashSuspects();
        BackendServerName server = new BackendServerName("s");
        here.recordCrash(server, 1, request("/bad"), now);
        advance(Duration.ofMillis(20));
        other.recordCrash(server, 1, request("/bad"), now);

        other.takeReports(now).forEach(r -> here.applyReport(r, now));
        assertThat(here.mayRepeat(request("/bad"))).isTrue();
        here.recordCrash(server, 2, request("/bad"), now);
        assertThat(here.mayRepeat(request("/bad"))).isFalse();
    }

    @Test
    void changeIsReportedThreeTimesAndThenAtIntervals() {
        CrashSuspects suspects = new CrashSuspects();
        crash(suspects, "/bad");

        assertThat(suspects.isReportDue()).isTrue();
        for (int i = 0; i < 3; i++) {
            assertThat(suspects.takeReports(now)).hasSize(1);
            assertThat(suspects.isReportDue()).isFalse();
        }
        assertThat(suspects.takeReports(now)).isEmpty();
        advance(Duration.ofSeconds(5));
        assertThat(suspects.takeReports(now)).hasSize(1);
    }

    /** Guards against memory and reports that grow with the number of requests in flight at crashes. */
    @Test
    void memoryAndReportsAreBoundedAndKeepTheWorstRequests() {
        CrashSuspects suspects = new CrashSuspects();
        for (int i = 0; i < 3; i++) {
            crash(suspects, "/bad");
        }
        for (int i = 0; i < 10_000; i++) {
            advance(Duration.ofMillis(1));
            crash(suspects, "/chance/" + i);
        }

        assertThat(suspects.suspectCount()).isEqualTo(CrashSuspects.MAX_REQUESTS);
        assertThat(suspects.quarantinedCount()).isEqualTo(1);
        assertThat(suspects.takeReports(now)).hasSize(CrashSuspects.MAX_REPORTED);
        assertThat(verdict(suspects, "/bad")).isInstanceOf(SuspectVerdict.Quarantined.class);
    }

    @Test
    void numberOfCrashesPerRequestIsBounded() {
        CrashSuspects suspects = new CrashSuspects();
        for (int i = 0; i < 1_000; i++) {
            crash(suspects, "/bad");
        }

        assertThat(suspects.takeReports(now).getFirst().crashes()).hasSize(SuspectRequest.MAX_CRASHES);
        assertThat(verdict(suspects, "/bad"))
                .isEqualTo(new SuspectVerdict.Quarantined(
                        SuspectRequest.MAX_CRASHES, CrashSuspects.BASE_QUARANTINE.multipliedBy(32)));
    }

    @Test
    void requestsAreForgottenAfterTheirQuarantine() {
        CrashSuspects suspects = new CrashSuspects();
        for (int i = 0; i < 3; i++) {
            crash(suspects, "/bad");
        }
        crash(suspects, "/chance");

        advance(CrashSuspects.SUSPICION_PERIOD.plusMillis(1));
        suspects.removeExpired(now);
        assertThat(suspects.suspectCount()).isEqualTo(1);
        advance(CrashSuspects.BASE_QUARANTINE);
        suspects.removeExpired(now);
        assertThat(suspects.isEmpty()).isTrue();
    }

    @Test
    void vmThatJoinsIsToldOfRequestsThatMustNotBeRepeated() {
        CrashSuspects suspects = new CrashSuspects();
        crash(suspects, "/bad");
        crash(suspects, "/bad");
        for (int i = 0; i < 3; i++) {
            suspects.takeReports(now);
        }
        CrashSuspects joined = new CrashSuspects();

        suspects.requestReports();
        suspects.takeReports(now).forEach(r -> joined.applyReport(r, now));

        assertThat(joined.mayRepeat(request("/bad"))).isFalse();
    }

    /** Guards against further crashes, by any VM of a fleet, by a request that comes again and again (BUDGET). */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8, 300})
    void requestThatComesAgainAtOtherVmsCrashesFewServers(int vms) {
        List<CrashSuspects> fleet = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            fleet.add(new CrashSuspects());
        }
        List<MonotonicTime> crashes = new ArrayList<>();
        List<MonotonicTime> repeats = new ArrayList<>();
        for (int arrival = 0; arrival < 80; arrival++) {
            CrashSuspects vm = fleet.get(arrival % vms);
            if (!(verdict(vm, "/bad") instanceof SuspectVerdict.Quarantined)) {
                crash(vm, "/bad");
                crashes.add(now);
                if (vm.mayRepeat(request("/bad"))) {
                    repeats.add(now);
                    crash(vm, "/bad");
                    crashes.add(now);
                }
            }
            advance(REPORT_DELAY);
            exchangeReports(fleet);
            advance(ARRIVAL_INTERVAL.minus(REPORT_DELAY));
        }

        MonotonicTime counted = crashes.get(2).plus(CONTACT);
        assertThat(repeats).noneMatch(counted::isBefore);
        assertThat(crashes).hasSizeLessThanOrEqualTo(6);
    }

    private void exchangeReports(List<CrashSuspects> fleet) {
        for (CrashSuspects from : fleet) {
            List<SuspectRequest> reports = from.takeReports(now);
            fleet.stream().filter(to -> to != from).forEach(to -> reports.forEach(r -> to.applyReport(r, now)));
        }
    }
}
