package org.lycheetray.cli.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.time.Duration;
import java.util.List;
import org.lycheetray.core.model.Vm;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Fetches the status pages of entry VMs over HTTP. */
final class VmProbe {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int CONCURRENCY = 64;
    private static final int MAX_PAGE_CHARS = 4 << 20;
    private static final JsonMapper JSON = new JsonMapper();

    /**
     * Status of one VM. If the page could not be fetched or parsed, {@code problem} says why and {@code status} is an
     * empty object; otherwise {@code problem} is empty.
     */
    record VmStatus(Vm vm, JsonNode status, String problem) {
        String text(String section, String field) {
            return status.path(section).path(field).asText("-");
        }

        boolean isReachable() {
            return problem.isEmpty();
        }
    }

    private VmProbe() {}

    static List<VmStatus> fetchStatus(List<Vm> vms) {
        return Flux.fromIterable(vms)
                .flatMapSequential(VmProbe::fetchStatus, CONCURRENCY)
                .collectList()
                .block();
    }

    private static Mono<VmStatus> fetchStatus(Vm vm) {
        return HttpClient.newConnection()
                .responseTimeout(TIMEOUT)
                .get()
                .uri("http://" + vm.callerEndpoint() + "/statusz")
                .responseSingle((res, body) -> body.asString())
                .timeout(TIMEOUT)
                .map(text -> parse(vm, text))
                .onErrorResume(e -> Mono.just(failed(vm, String.valueOf(e.getMessage()))));
    }

    private static VmStatus parse(Vm vm, String text) {
        try {
            return text.length() > MAX_PAGE_CHARS
                    ? failed(vm, "status page is longer than " + MAX_PAGE_CHARS + " characters")
                    : new VmStatus(vm, JSON.readTree(text), "");
        } catch (JsonProcessingException e) {
            return failed(vm, "status page is not valid JSON: " + e.getOriginalMessage());
        }
    }

    private static VmStatus failed(Vm vm, String problem) {
        return new VmStatus(vm, JsonNodeFactory.instance.objectNode(), problem);
    }
}
