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

/** Asks entry VMs for their status pages. */
final class VmProbe {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int CONCURRENCY = 64;
    private static final int MAX_BYTES = 4 << 20;
    private static final JsonMapper JSON = new JsonMapper();

    /** What a VM said; {@code status} is an empty object if it did not answer. */
    record Answer(Vm vm, JsonNode status, String problem) {
        String text(String section, String field) {
            return status.path(section).path(field).asText("-");
        }

        boolean isReachable() {
            return problem.isEmpty();
        }
    }

    private VmProbe() {}

    static List<Answer> ask(List<Vm> vms) {
        return Flux.fromIterable(vms)
                .flatMapSequential(VmProbe::ask, CONCURRENCY)
                .collectList()
                .block();
    }

    private static Mono<Answer> ask(Vm vm) {
        return HttpClient.newConnection()
                .responseTimeout(TIMEOUT)
                .get()
                .uri("http://" + vm.callerEndpoint() + "/statusz")
                .responseSingle((res, body) -> body.asString())
                .timeout(TIMEOUT)
                .map(text -> parse(vm, text))
                .onErrorResume(e -> Mono.just(silent(vm, String.valueOf(e.getMessage()))));
    }

    private static Answer parse(Vm vm, String text) {
        try {
            return text.length() > MAX_BYTES ? silent(vm, "page too long") : new Answer(vm, JSON.readTree(text), "");
        } catch (JsonProcessingException e) {
            return silent(vm, "not JSON: " + e.getOriginalMessage());
        }
    }

    private static Answer silent(Vm vm, String problem) {
        return new Answer(vm, JsonNodeFactory.instance.objectNode(), problem);
    }
}
