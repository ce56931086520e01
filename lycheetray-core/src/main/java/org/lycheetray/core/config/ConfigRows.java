package org.lycheetray.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowKey;

/** Keys and JSON encoding of the configuration rows. Unknown JSON fields are ignored so that rows written by a later
 * release can be read. */
public final class ConfigRows {
    /** Key of the row that holds the newest version and the accepted version. */
    public static final RowKey HEAD_KEY = new RowKey("config/head");

    /** Key prefix of the acknowledgement rows. */
    public static final String ACK_PREFIX = "config/ack/";

    private static final String VOTERS_PREFIX = "config/voters/";
    private static final String VERSION_PREFIX = "config/version/";
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    private record HeadJson(
            long version,
            String digest,
            long acceptedVersion,
            String acceptedDigest,
            String submission,
            String operator,
            String at) {}

    private record VoterJson(String vm, long incarnation, String registeredAt) {}

    private record VotersJson(List<VoterJson> voters) {}

    private record AckJson(String dataCentre, long version) {}

    private ConfigRows() {}

    /**
     * Returns the key of the acknowledgement row of a data centre.
     *
     * @param dataCentre the data centre
     * @return the key
     */
    public static RowKey ackKey(DataCentreName dataCentre) {
        return new RowKey(ACK_PREFIX + dataCentre);
    }

    /**
     * Returns the key of the voter row of a data centre.
     *
     * @param dataCentre the data centre
     * @return the key
     */
    public static RowKey votersKey(DataCentreName dataCentre) {
        return new RowKey(VOTERS_PREFIX + dataCentre);
    }

    /**
     * Returns the key of the row that records which submission created a version; the row is never overwritten.
     *
     * @param version the version
     * @return the key
     */
    public static RowKey versionKey(ConfigVersion version) {
        return new RowKey(VERSION_PREFIX + ConfigRef.zeroPadded(version));
    }

    /**
     * Encodes the content of the head row or of a version row.
     *
     * @param head the content
     * @return the JSON text
     */
    public static String encode(ConfigHead head) {
        return toJson(new HeadJson(
                head.current().version().number(),
                head.current().digest().hex(),
                head.accepted().version().number(),
                head.accepted().digest().hex(),
                head.submission().id(),
                head.submission().operator(),
                head.submission().at().toString()));
    }

    /**
     * Encodes the content of a voter row.
     *
     * @param row the content
     * @return the JSON text
     */
    public static String encode(VoterRow row) {
        return toJson(new VotersJson(row.voters().stream()
                .map(v -> new VoterJson(
                        v.incarnation().vm().value(),
                        v.incarnation().number(),
                        v.registeredAt().toString()))
                .toList()));
    }

    /**
     * Encodes the content of an acknowledgement row.
     *
     * @param row the content
     * @return the JSON text
     */
    public static String encode(AckRow row) {
        return toJson(new AckJson(row.dataCentre().value(), row.version().number()));
    }

    /**
     * Decodes the head row or a version row.
     *
     * @param row the row
     * @return the content, or a description of the error
     */
    public static Either<String, ConfigHead> decodeHead(Row row) {
        return decode(row, HeadJson.class, ConfigRows::toHead);
    }

    /**
     * Decodes a voter row.
     *
     * @param row the row, empty if there is none
     * @return the content, without voters if there is no row, or a description of the error
     */
    public static Either<String, VoterRow> decodeVoters(Optional<Row> row) {
        return row.map(r -> decode(r, VotersJson.class, ConfigRows::toVoters)).orElse(Either.right(VoterRow.EMPTY));
    }

    /**
     * Decodes an acknowledgement row.
     *
     * @param row the row
     * @return the content, or a description of the error
     */
    public static Either<String, AckRow> decodeAck(Row row) {
        return decode(
                row,
                AckJson.class,
                j -> new AckRow(new DataCentreName(j.dataCentre()), new ConfigVersion(j.version())));
    }

    private static ConfigHead toHead(HeadJson j) {
        return new ConfigHead(
                new ConfigRef(new ConfigVersion(j.version()), new ManifestDigest(j.digest())),
                new Submission(j.submission(), j.operator(), Instant.parse(j.at())),
                new ConfigRef(new ConfigVersion(j.acceptedVersion()), new ManifestDigest(j.acceptedDigest())));
    }

    private static VoterRow toVoters(VotersJson j) {
        return new VoterRow(j.voters().stream()
                .map(v -> new Voter(
                        new Incarnation(new VmName(v.vm()), v.incarnation()), Instant.parse(v.registeredAt())))
                .toList());
    }

    private static <J, T> Either<String, T> decode(Row row, Class<J> type, Function<J, T> convert) {
        try {
            return Either.right(convert.apply(MAPPER.readValue(row.value(), type)));
        } catch (JsonProcessingException | RuntimeException e) {
            return Either.left("row " + row.key() + " cannot be decoded: " + e.getMessage());
        }
    }

    private static String toJson(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("configuration row cannot be encoded as JSON", e);
        }
    }
}
