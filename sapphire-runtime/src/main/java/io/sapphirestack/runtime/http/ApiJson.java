package io.sapphirestack.runtime.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** JSON mapper of the HTTP interface. */
final class ApiJson {

    static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .registerModule(new Jdk8Module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ApiJson() {}
}
