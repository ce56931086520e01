package org.lycheetray.daemon.request;

import org.lycheetray.daemon.config.ConfigView;

/**
 * The decision points of the request pipeline.
 *
 * @param config configuration in force, key lookup and freshness
 * @param admission rate limits of client accounts
 * @param claims at-most-once execution of {@code once} requests
 * @param slots choice of a backend server and reservation of a slot
 * @param attempts server health, retry budget and quarantine
 */
public record RequestGates(
        ConfigView config, AdmissionGate admission, ClaimGate claims, SlotGate slots, AttemptGate attempts) {}
