package org.lycheetray.daemon.request;

import org.lycheetray.daemon.config.ConfigView;

/**
 * The decisions that the pipeline asks for, in the order in which it asks.
 *
 * @param config configuration, keys and freshness
 * @param admission rate and burst
 * @param claims at most once
 * @param slots choice of backend server
 * @param attempts health, retries and quarantine
 */
public record RequestGates(
        ConfigView config, AdmissionGate admission, ClaimGate claims, SlotGate slots, AttemptGate attempts) {}
