package org.lycheetray.standin;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Parses the stand-ins' command lines. */
final class StandinCommandLine {
    private static final int EXIT_USAGE = 2;

    private StandinCommandLine() {}

    static CommandLine parse(String program, Options options, String[] args) {
        System.setProperty("tinylog.level", "warn");
        try {
            return new DefaultParser().parse(options, args);
        } catch (ParseException e) {
            System.err.println(program + ": " + e.getMessage());
            options.getOptions().forEach(o -> System.err.printf("  --%s  %s%n", o.getLongOpt(), o.getDescription()));
            System.exit(EXIT_USAGE);
            throw new IllegalStateException(e);
        }
    }
}
