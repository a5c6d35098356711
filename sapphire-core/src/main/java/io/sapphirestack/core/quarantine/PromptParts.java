package io.sapphirestack.core.quarantine;

import java.util.ArrayList;
import java.util.List;

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
    public static final int MAX_PARTS = 16;

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
}
