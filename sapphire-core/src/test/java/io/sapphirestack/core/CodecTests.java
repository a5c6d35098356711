package io.sapphirestack.core;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.sapphirestack.core.control.ControlView;
import io.sapphirestack.core.control.InstanceInfo;
import io.sapphirestack.core.control.MembershipEvent;
import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.id.InstanceRef;
import io.sapphirestack.core.record.ConfigRecord;
import io.sapphirestack.core.record.RecordKey;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against fields that are lost when a type is serialized to the control log or to a message.
 */
class CodecTests {

    private final ObjectMapper mapper = new ObjectMapper().registerModule(new Jdk8Module());

    @Test
    void controlViewIsEqualAfterARoundTrip() throws Exception {
        InstanceRef ref = new InstanceRef(InstanceId.of("i1"), 2);
        RecordKey key = new RecordKey("stop", "instance:i1");
        ConfigRecord record =
                new ConfigRecord(key, 1, 1, 7, "c1", "op", mapper.readTree("{\"a\":1}"));
        InstanceInfo info = new InstanceInfo(ref, "az1", "r1", "127.0.0.1:1", "127.0.0.1:2", 1);
        ControlView view =
                new ControlView(
                        7,
                        Map.of(key, record),
                        Map.of(ref.id(), info),
                        List.of(
                                new MembershipEvent.Joined(3, ref, Optional.empty()),
                                new MembershipEvent.Evicted(4, List.of(ref), "lost")));

        ControlView read = mapper.readValue(mapper.writeValueAsBytes(view), ControlView.class);

        assertThat(read).isEqualTo(view);
    }
}
