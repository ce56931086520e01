package org.lycheetray.platform.wire;

/** Paths, query parameters and headers of the platform's HTTP interface. */
public final class PlatformPaths {
    /** {@code GET ?key=}: answers 200 with a {@link WireRow} or 404. */
    public static final String ROW = "/v1/table/row";

    /** {@code GET ?prefix=&after=&limit=}: answers 200 with {@link WireRows}. */
    public static final String SCAN = "/v1/table/scan";

    /** {@code POST} of a {@link WireWrite}: answers 200 with {@link WireApplied} or 409 with {@link WireRows}. */
    public static final String WRITE = "/v1/table/write";

    /** {@code GET ?name=} answers 200 with the bytes or 404; {@code PUT ?name=} answers 201, or 412 if the name is taken. */
    public static final String OBJECT = "/v1/object";

    /** {@code GET ?prefix=&after=&limit=}: answers 200 with {@link WireNames}. */
    public static final String OBJECTS = "/v1/objects";

    /** {@code GET}: answers 200 with {@link WireVms}. */
    public static final String VMS = "/v1/vms";

    /** Header of an error response by which the platform guarantees that nothing was written. */
    public static final String NOT_WRITTEN = "Platform-Not-Written";

    private PlatformPaths() {}
}
