package io.sapphirestack.runtime.relay;

import static io.sapphirestack.runtime.relay.ScriptedEndpoint.response;
import static org.assertj.core.api.Assertions.assertThat;

import io.sapphirestack.core.relay.RelayedAccount;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against header fields and paths that lose octets on their way: endpoints received the same
 * name for two client accounts, because the HTTP library writes what it does not know as a question
 * mark (review/10). The tests use TCP connections; a text with one character for each octet.
 */
@Timeout(60)
class HeaderOctetsTests {

    private static final String SEAL = "Sapphire-Seal: s\r\n";

    /** Octets of "open e" and "open o" of the languages of Ghana, and all others above ASCII. */
    private static final String HIGH_OCTETS = octetsAbove(0x80);

    private static String octetsAbove(int first) {
        StringBuilder octets = new StringBuilder();
        for (int octet = first; octet <= 0xFF; octet++) {
            octets.append((char) octet);
        }
        return octets.toString();
    }

    private static String octets(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    private static ScriptedEndpoint endpoint(String fields) throws Exception {
        return ScriptedEndpoint.responding("e1", "z1", r -> response(r, 200, SEAL + fields, "ok"));
    }

    private static String request(String key, String path, String fields) {
        return "GET "
                + path
                + " HTTP/1.1\r\nHost: h\r\nSapphire-Key: "
                + key
                + "\r\nSapphire-Request-Id: r1\r\nConnection: close\r\n"
                + fields
                + "\r\n";
    }

    /** Names that a header field carries arrive as UTF-8. */
    @ParameterizedTest
    @ValueSource(
            strings = {"shop", "k\u025bse", "k\u0254se", "Caf\u00e9 50%", "\ud83d\ude80", "\u0080"})
    void endpointReceivesTheNameOfTheAccount(String name) throws Exception {
        assertThat(receivedName(name)).isEqualTo(octets(name));
    }

    /** Names that no header field carries arrive encoded, and not as those that they resemble. */
    @ParameterizedTest
    @CsvSource({
        "'shop ', UTF-8''shop%20",
        "' shop', UTF-8''%20shop",
        "'a\tb', UTF-8''a%09b",
        "'a\r\nSapphire-Key: k', UTF-8''a%0D%0ASapphire-Key%3A%20k",
        "'\u025b\u0000', UTF-8''%C9%9B%00"
    })
    void nameThatNoFieldCarriesIsEncoded(String name, String expected) throws Exception {
        assertThat(receivedName(name)).isEqualTo(expected);
    }

    private static String receivedName(String name) throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("");
                RelayTestBed testBed =
                        new RelayTestBed(endpoint)
                                .withAccounts(new RelayedAccount(name, List.of("k1")))) {
            assertThat(testBed.call(request("k1", "/read/1", ""))).startsWith("HTTP/1.1 200");
            return endpoint.received().get(0).headers().get("Sapphire-Account");
        }
    }

    /** A key may have letters outside of ASCII; callers send it as UTF-8. */
    @Test
    void keyOutsideOfAsciiIsFoundAndNotTakenForAnother() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("");
                RelayTestBed testBed =
                        new RelayTestBed(endpoint)
                                .withAccounts(
                                        new RelayedAccount("a", List.of("k\u025b")),
                                        new RelayedAccount("b", List.of("k\u0254", "k ")))) {
            testBed.call(request(octets("k\u025b"), "/read/1", ""));
            testBed.call(request(octets("k\u0254"), "/read/2", ""));

            assertThat(endpoint.received())
                    .extracting(r -> r.headers().get("Sapphire-Account"))
                    .containsExactly("a", "b");
            for (String unknown : List.of("k??", "k", "k ", "UTF-8''k%20")) {
                assertThat(testBed.call(request(unknown, "/read/3", "")))
                        .startsWith("HTTP/1.1 401");
            }
        }
    }

    @Test
    void pathAndFieldsOfTheCallerArriveUnchanged() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            String path = "/read/" + HIGH_OCTETS + "?q=" + HIGH_OCTETS;
            assertThat(testBed.call(request("k1", path, "X-Model: " + HIGH_OCTETS + "\r\n")))
                    .startsWith("HTTP/1.1 200");

            ScriptedEndpoint.Received received = endpoint.received().get(0);
            assertThat(received.line()).isEqualTo("GET " + path + " HTTP/1.1");
            assertThat(received.headers()).containsEntry("X-Model", HIGH_OCTETS);
        }
    }

    @Test
    void fieldsOfTheEndpointArriveUnchanged() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("X-Model: " + HIGH_OCTETS + "\r\n");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call(request("k1", "/read/1", "")))
                    .contains("\r\nX-Model: " + HIGH_OCTETS + "\r\n");
        }
    }

    /** A control character would end a line for some receivers (RFC 9110, section 5.5). */
    @Test
    void controlCharactersOfTheEndpointDoNotReachTheCaller() throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("X-Model: a\rSet-Cookie: b\u0000\u007fc\r\n");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call(request("k1", "/read/1", "")))
                    .contains("\r\nX-Model: a Set-Cookie: b  c\r\n");
        }
    }

    /** A path with a control character cannot be forwarded unchanged. */
    @ParameterizedTest
    @ValueSource(strings = {"/read/a\u0001b", "/read/a\u0000", "/read/\u007f"})
    void controlCharactersInAPathAreRejected(String path) throws Exception {
        try (ScriptedEndpoint endpoint = endpoint("");
                RelayTestBed testBed = new RelayTestBed(endpoint).withTrafficPlan()) {
            assertThat(testBed.call(request("k1", path, ""))).startsWith("HTTP/1.1 400");
            assertThat(endpoint.received()).isEmpty();
        }
    }
}
