package org.lycheetray.core.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class EndpointTest {
    @Test
    void parsesIpv4() {
        assertThat(Endpoint.parse("127.0.0.1:80")).isEqualTo(new Endpoint("127.0.0.1", 80));
    }

    @Test
    void writesIpv6WithBrackets() {
        assertThat(Endpoint.parse("[::1]:80")).hasToString("[::1]:80");
    }

    @Test
    void refusesPortOutOfRange() {
        assertThatThrownBy(() -> Endpoint.parse("127.0.0.1:65536")).hasMessageContaining("65536");
    }
}
