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

/** Keys and JSON of the configuration's rows; fields that a later release adds are ignored. */
public final class ConfigRows {
    /** Key of the one row that decides which version is next and which is accepted. */
    public static final RowKey HEAD = new RowKey("config/head");

    /** Prefix of the acknowledgements' keys. */
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
     * Gives the key of a data centre's acknowledgement.
     *
     * @param dataCentre the data centre
     * @return the key
     */
    public static RowKey ack(DataCentreName dataCentre) {
        return new RowKey(ACK_PREFIX + dataCentre);
    }

    /**
     * Gives the key of a data centre's registered VMs.
     *
     * @param dataCentre the data centre
     * @return the key
     */
    public static RowKey voters(DataCentreName dataCentre) {
        return new RowKey(VOTERS_PREFIX + dataCentre);
    }

    /**
     * Gives the key of the row that records for good who submitted a version.
     *
     * @param version the version
     * @return the key
     */
    public static RowKey version(ConfigVersion version) {
        return new RowKey(VERSION_PREFIX + ConfigRef.padded(version));
    }

    /**
     * Writes a head or a version row.
     *
     * @param head the content
     * @return JSON
     */
    public static String encode(ConfigHead head) {
        return json(new HeadJson(
                head.current().version().number(),
                head.current().digest().hex(),
                head.accepted().version().number(),
                head.accepted().digest().hex(),
                head.submission().id(),
                head.submission().operator(),
                head.submission().at().toString()));
    }

    /**
     * Writes a row of registered VMs.
     *
     * @param row the content
     * @return JSON
     */
    public static String encode(VoterRow row) {
        return json(new VotersJson(row.voters().stream()
                .map(v -> new VoterJson(
                        v.incarnation().vm().value(),
                        v.incarnation().number(),
                        v.registeredAt().toString()))
                .toList()));
    }

    /**
     * Writes an acknowledgement.
     *
     * @param row the content
     * @return JSON
     */
    public static String encode(AckRow row) {
        return json(new AckJson(row.dataCentre().value(), row.version().number()));
    }

    /**
     * Reads a head or a version row.
     *
     * @param row the row
     * @return the content, or what is wrong with it
     */
    public static Either<String, ConfigHead> decodeHead(Row row) {
        return decode(row, HeadJson.class, ConfigRows::toHead);
    }

    /**
     * Reads a row of registered VMs.
     *
     * @param row the row, empty if there is none
     * @return the content, or what is wrong with it
     */
    public static Either<String, VoterRow> decodeVoters(Optional<Row> row) {
        return row.map(r -> decode(r, VotersJson.class, ConfigRows::toVoters)).orElse(Either.right(VoterRow.EMPTY));
    }

    /**
     * Reads an acknowledgement.
     *
     * @param row the row
     * @return the content, or what is wrong with it
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
            return Either.left("row " + row.key() + " is not readable: " + e.getMessage());
        }
    }

    private static String json(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a row of plain values could not be written", e);
        }
    }
}
