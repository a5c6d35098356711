package io.sapphirestack.core.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.io.IOException;
import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against a text that another layer of the control log reads back changed. */
class RecordContentTests {

    @Property
    void storedTextIsReadBackUnchanged(@ForAll String text) throws IOException {
        assertThat(RecordContent.decode(RecordContent.encode(text))).isEqualTo(text);
    }

    @Property
    void textOfAnEarlierReleaseIsReadBackUnchanged(@ForAll String text) throws IOException {
        assertThat(RecordContent.decode(TextNode.valueOf(text))).isEqualTo(text);
    }

    /** Any missing octet is an error, not a shorter text. */
    @Test
    void contentThatWasCutOffIsRejected() {
        byte[] whole = ((BinaryNode) RecordContent.encode("{\"a\":1}".repeat(100))).binaryValue();
        for (int length = 0; length < whole.length; length++) {
            JsonNode cut = BinaryNode.valueOf(Arrays.copyOf(whole, length));
            assertThatThrownBy(() -> RecordContent.decode(cut)).isInstanceOf(IOException.class);
        }
        assertThatThrownBy(() -> RecordContent.decode(IntNode.valueOf(1)))
                .isInstanceOf(IOException.class);
    }

    /** The cost of a configuration on each link (review/6). */
    @Test
    void textOfManySimilarRoutesTakesLessThanATenth() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 1_400; i++) {
            text.append("{\"name\":\"r-").append(Integer.toString(i * 7_919, 36));
            text.append("\",\"host\":\"shop.example\",\"prefix\":\"/")
                    .append(Integer.toString(i * 104_729, 36));
            text.append("/\",\"kind\":\"idempotent\",\"timeoutMs\":25000},");
        }
        assertThat(RecordContent.sizeBytes(RecordContent.encode(text.toString())))
                .isLessThan(text.length() / 10);
    }
}
