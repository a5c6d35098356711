package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.util.JsonRecyclerPools;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** Holds the JSON mapper of the HTTP interface. */
final class ApiJson {

    // Each connection has its own thread, so thread-local buffers would stay allocated for idle
    // connections. A shared pool avoids this.
    static final ObjectMapper MAPPER =
            new ObjectMapper(
                            JsonFactory.builder()
                                    .recyclerPool(JsonRecyclerPools.sharedBoundedPool())
                                    .build())
                    .registerModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ApiJson() {}
}
