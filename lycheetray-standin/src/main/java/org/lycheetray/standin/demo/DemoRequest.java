package org.lycheetray.standin.demo;

import java.util.Optional;
import org.lycheetray.core.model.Vm;

/**
 * A request that the demo sends.
 *
 * @param what short description for the table
 * @param vm entry VM to ask
 * @param method HTTP method
 * @param path path and query
 * @param key key, empty for none
 * @param idempotencyKey idempotency key, empty for none
 */
record DemoRequest(
        String what, Vm vm, String method, String path, Optional<String> key, Optional<String> idempotencyKey) {
    static DemoRequest open(String what, Vm vm, String path) {
        return new DemoRequest(what, vm, "GET", path, Optional.empty(), Optional.empty());
    }

    static DemoRequest keyed(String what, Vm vm, String path, String key) {
        return new DemoRequest(what, vm, "GET", path, Optional.of(key), Optional.empty());
    }

    static DemoRequest once(String what, Vm vm, String path, String key, Optional<String> idempotencyKey) {
        return new DemoRequest(what, vm, "POST", path, Optional.of(key), idempotencyKey);
    }
}
