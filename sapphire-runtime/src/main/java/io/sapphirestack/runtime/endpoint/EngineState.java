package io.sapphirestack.runtime.endpoint;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import io.sapphirestack.core.record.ModelPin;
import java.util.List;

/**
 * Response of an engine to {@code GET /v1/state}.
 *
 * @param models model variants that are loaded
 * @param loading model variants that are being loaded
 * @param role current role
 * @param highestFencingToken highest fencing token that the engine has accepted
 * @param running number of streams being executed
 * @param queued number of streams waiting
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EngineState(
        List<ModelPin> models,
        List<ModelPin> loading,
        String role,
        long highestFencingToken,
        int running,
        int queued) {

    /** Copies the lists; absent parts become empty. */
    public EngineState {
        models = models == null ? List.of() : List.copyOf(models);
        loading = loading == null ? List.of() : List.copyOf(loading);
        role = role == null ? "" : role;
    }
}
