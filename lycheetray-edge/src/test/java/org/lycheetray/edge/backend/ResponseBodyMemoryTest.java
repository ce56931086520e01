package org.lycheetray.edge.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.BodyBudget;
import org.lycheetray.edge.TestDialect;

/** Tests that the response bodies of all connections together stay within their memory limit. */
class ResponseBodyMemoryTest {
    private static final int LIMIT = 1_000;
    private final BodyBudget budget = new BodyBudget(LIMIT);

    @Test
    void endlessBodiesTogetherAreCutOffAtTheLimit() {
        List<Exchange> exchanges = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            exchanges.add(new Exchange());
            exchanges.get(i).receive(200);
        }

        exchanges.getFirst().receive(1);

        assertThat(exchanges.getFirst().results).hasOnlyElementsOfType(AttemptResult.Unknown.class);
        assertThat(exchanges.getFirst().channel.isActive()).isFalse();
        assertThat(exchanges.subList(1, 5)).allMatch(e -> e.results.isEmpty());
    }

    @Test
    void memoryOfFailedCancelledAndCompletedAnswersIsReleased() {
        Exchange failed = new Exchange();
        failed.receive(LIMIT);
        failed.receive(1);
        Exchange cancelled = new Exchange();
        cancelled.receive(LIMIT);
        cancelled.attempt.cancel();
        Exchange completed = new Exchange();
        completed.receive(LIMIT);
        completed.end();

        Exchange next = new Exchange();
        next.receive(LIMIT);
        next.end();

        assertThat(completed.results).hasOnlyElementsOfType(AttemptResult.Answer.class);
        assertThat(next.results).hasOnlyElementsOfType(AttemptResult.Answer.class);
    }

    /** A request on a connection of its own, whose answer has begun. */
    private final class Exchange {
        private final List<AttemptResult> results = new ArrayList<>();
        private final EmbeddedChannel channel = new EmbeddedChannel();
        private final Attempt attempt = new Attempt(
                new OutgoingRequest("q1", HttpMethod.GET, "/", DefaultHttpHeaders::new, new Body(new byte[0])),
                results::add);

        Exchange() {
            BackendConnection connection = new BackendConnection(
                    channel,
                    new ResponseDecoder(),
                    new TestDialect(),
                    Clock.system(),
                    budget,
                    () -> {},
                    BackendConnectionFixture.SERVER,
                    BackendConnectionFixture.NO_EVENTS);
            channel.pipeline().addLast(connection);
            connection.send(attempt);
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set("X-Id", "q1");
            channel.writeInbound(head);
        }

        void receive(int bytes) {
            channel.writeInbound(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes])));
        }

        void end() {
            channel.writeInbound(new DefaultLastHttpContent());
        }
    }
}
