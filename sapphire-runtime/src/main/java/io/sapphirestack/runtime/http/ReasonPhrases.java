package io.sapphirestack.runtime.http;

import java.util.Locale;
import org.apache.hc.core5.http.impl.EnglishReasonPhraseCatalog;

/** Reason phrases of HTTP status codes, used as the titles of problem details. */
final class ReasonPhrases {

    private ReasonPhrases() {}

    static String of(int status) {
        String phrase = EnglishReasonPhraseCatalog.INSTANCE.getReason(status, Locale.ROOT);
        return phrase == null ? "Status " + status : phrase;
    }
}
