package io.sapphirestack.core.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Parts of a prompt that requests may share, in the order of the prompt. The last part of a prompt
 * is left out, because it belongs to a single request or session. Immutable.
 *
 * @param shared identifiers of the shared parts
 */
public record PromptParts(List<String> shared) {

    /** Prompt without shared parts. */
    public static final PromptParts NONE = new PromptParts(List.of());

    /** Maximum number of parts that are considered; longer prompts are cut there. */
    public static final int MAX_PARTS = CrashReport.MAX_PARTS - 1;

    /** Takes an immutable copy of the list. */
    public PromptParts {
        shared = List.copyOf(shared);
    }

    /**
     * Parses the list of the parts of a prompt: {@code id:tokens} entries in order, separated by
     * commas. The number of tokens of an entry is ignored and may be missing.
     *
     * @param value list as sent by the caller
     * @return its shared parts; none if an identifier is empty
     */
    public static PromptParts parse(String value) {
        List<String> ids = new ArrayList<>();
        for (String entry : value.split(",", -1)) {
            int colon = entry.indexOf(':');
            String id = (colon < 0 ? entry : entry.substring(0, colon)).trim();
            if (id.isEmpty()) {
                return NONE;
            }
            ids.add(id);
        }
        return new PromptParts(ids.subList(0, Math.min(ids.size() - 1, MAX_PARTS)));
    }

    /**
     * Returns the handles of the shared parts and of the request itself. A request that alone
     * crashed engines thus explains the crashes as well as its parts, and other prompts with these
     * parts are still sent.
     *
     * @param service name of the service that the request is sent to
     * @param request fingerprint of the request
     * @return 64-bit hashes; none if there are no shared parts
     */
    Set<Long> handles(String service, RequestFingerprint request) {
        Set<Long> handles = handles(service);
        if (!handles.isEmpty()) {
            handles.add(request.handle());
        }
        return handles;
    }

    /**
     * Returns the handles of the shared parts. A part has a different handle in each service,
     * because the engines of another service may run other software.
     *
     * @param service name of the service that the request is sent to
     * @return 64-bit hashes, in the order of the parts
     */
    private Set<Long> handles(String service) {
        Set<Long> handles = new LinkedHashSet<>();
        for (String id : shared) {
            handles.add(
                    Hashing.xxh3_64().hashStream().putString(service).putString(id).getAsLong());
        }
        return handles;
    }
}
