package org.lycheetray.core.manifest;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ManifestReaderTest {
    @Test
    void readsValidManifest() {
        assertThat(ManifestReader.read(ManifestFixture.bytes(ManifestFixture.VALID))
                        .get()
                        .vms())
                .hasSize(1);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '~', quoteCharacter = '`', textBlock = """
            'slots':3 ~ 'slots':0 ~ $.services[0].backendServers[0].slots ~ from 1 to
            'slots':3 ~ 'slots':2.5 ~ $.services[0].backendServers[0].slots ~ integer
            'slots':3 ~ 'slots':99999999999999999999999 ~ $.services[0].backendServers[0].slots ~ integer
            'slots':3 ~ 'slots':'3' ~ $.services[0].backendServers[0].slots ~ but was the string
            'slots':3 ~ 'slots':null ~ $.services[0].backendServers[0].slots ~ null
            'slots':3, ~ `` ~ $.services[0].backendServers[0].slots ~ missing
            'slots':3 ~ 'slots':3,'slots':4 ~ $.services[0].backendServers[0].slots ~ duplicate field
            'slots':3 ~ 'slots':3,'slot s':3 ~ $.services[0].backendServers[0]['slot s'] ~ unknown
            'dataCentre':'north-a' ~ 'dataCentre':'east' ~ $.services[0].backendServers[0].dataCentre ~ undeclared data centre east
            'name':'south-a' ~ 'name':'north-a' ~ $.regions[1].dataCentres[0].name ~ duplicate
            'name':'shop' ~ 'name':'Shop!' ~ $.clientAccounts[0].name ~ Shop!
            'peers':'127.0.0.1:9101' ~ 'peers':'127.0.0.1:8101' ~ $.regions[0].dataCentres[0].entryVms[0].peers ~ duplicate
            'peers':'127.0.0.1:9101' ~ 'peers':'localhost:9101' ~ $.regions[0].dataCentres[0].entryVms[0].peers ~ IP address
            '127.0.0.0/8' ~ '127.0.0.1/8' ~ $.clientBlocks[0].cidr ~ beyond the prefix
            '127.0.0.0/8' ~ '127.0.0.0/33' ~ $.clientBlocks[0].cidr ~ 0 to 32
            'to':'south' ~ 'to':'north' ~ $.links[0].to ~ different
            'class':'read' ~ 'class':'write' ~ $.routes[0].class ~ read, queue, once
            'class':'read','open':false ~ 'class':'once','open':true ~ $.routes[0].open ~ class once cannot be open
            '/catalogue' ~ '/metrics/x' ~ $.routes[0].pathPrefix ~ reserved for
            T11:00:00Z ~ T09:00:00Z ~ $.plannedDrains[0].end ~ after its start
            T11:00:00Z ~ noon ~ $.plannedDrains[0].end ~ expected a UTC time
            {'region':'south'} ~ {} ~ $.plannedDrains[0].target ~ exactly one
            'format':1 ~ 'format':2 ~ $.format ~ expected 1
            'links':[ ~ 'links':3,'x':[ ~ $.links ~ expected an array
            'format':1, ~ `` ~ $.format ~ missing
            """)
    void reportsErrorWithPath(String old, String replacement, String path, String message) {
        List<ManifestError> errors = errors(ManifestFixture.validWith(old, replacement));
        assertThat(errors)
                .anySatisfy(e -> assertThat(e.path()).isEqualTo(path))
                .anySatisfy(e -> assertThat(e.message()).contains(message));
    }

    @Test
    void reportsAllErrorsAtOnce() {
        String text = ManifestFixture.validWith("'slots':3", "'slots':-1")
                .replace("'weight':1", "'weight':0")
                .replace("'service':'catalogue'", "'service':'orders'");
        assertThat(errors(text))
                .extracting(ManifestError::path)
                .containsExactly(
                        "$.services[0].backendServers[0].slots", "$.clientAccounts[0].weight", "$.routes[0].service");
    }

    @Test
    void rejectsKeyHashSharedByTwoAccounts() {
        String hash = "'keyHashes':['" + "a".repeat(64) + "']";
        String secondAccount = "{'name':'second'," + hash + ",'ratePerSecond':1,'burst':1,'weight':1}";
        assertThat(errors(ManifestFixture.validWith("'clientAccounts':[", "'clientAccounts':[" + secondAccount + ",")))
                .singleElement()
                .satisfies(e -> assertThat(e.path()).isEqualTo("$.clientAccounts[1].keyHashes[0]"));
    }

    @Test
    void reportsErrorsFoundBeforeBrokenJson() {
        String text = ManifestFixture.validWith("'slots':3", "'slots':0");
        assertThat(errors(text.substring(0, text.indexOf("'weight'"))))
                .extracting(ManifestError::path)
                .containsExactly("$.services[0].backendServers[0].slots", "$.clientAccounts[0].burst");
    }

    @Test
    void rejectsDeepNesting() {
        assertThat(errors("{'regions':" + "[".repeat(100_000))).isNotEmpty();
    }

    @Test
    void errorStatesSizeLimit() {
        assertThat(ManifestReader.read(new byte[ManifestReader.MAX_BYTES + 1]).getLeft())
                .singleElement()
                .satisfies(e -> assertThat(e.message()).contains("limit of 67108864 bytes (64 MB)"));
    }

    @Test
    void limitsNumberOfErrors() {
        String many = "{'regions':[" + "1,".repeat(100_000) + "1]}";
        assertThat(errors(many))
                .hasSizeLessThan(2_000)
                .last()
                .satisfies(e -> assertThat(e.message()).contains("more errors"));
    }

    @Test
    void writtenManifestReadsBackEqual() {
        var manifest = ManifestReader.read(ManifestFixture.bytes(ManifestFixture.VALID))
                .get();
        byte[] json = ManifestWriter.write(manifest);
        assertThat(ManifestReader.read(json).get()).isEqualTo(manifest);
        assertThat(ManifestReader.read(ManifestWriter.writePretty(manifest)).get())
                .isEqualTo(manifest);
    }

    @Property(seed = "11", tries = 2000)
    void neverThrowsOnCorruptedInput(
            @ForAll @IntRange(max = 1_500) int at, @ForAll byte value, @ForAll @IntRange(max = 3) int cut) {
        byte[] text = ManifestFixture.bytes(ManifestFixture.VALID);
        text[at % text.length] = value;
        byte[] changed = cut == 0 ? Arrays.copyOf(text, at % text.length) : text;
        assertThat(ManifestReader.read(changed)).isNotNull();
    }

    private static List<ManifestError> errors(String text) {
        return ManifestReader.read(ManifestFixture.bytes(text)).getLeft();
    }
}
