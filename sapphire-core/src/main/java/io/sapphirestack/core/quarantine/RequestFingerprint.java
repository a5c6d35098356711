package io.sapphirestack.core.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;

/**
 * Identifies requests with the same content: service, account of the caller, method, target and
 * body. A caller that sends a request again, at any instance and with a new identifier, sends one
 * with the same fingerprint. Immutable.
 *
 * @param handle 64-bit hash of the content
 */
public record RequestFingerprint(long handle) {

    /**
     * Computes the fingerprint of a request.
     *
     * @param service name of the service that the request is sent to
     * @param account client account of the caller, empty if there is none
     * @param method HTTP method, or the kind of the request
     * @param target path and query
     * @param body body of the request
     * @return its fingerprint
     */
    public static RequestFingerprint of(
            String service, String account, String method, String target, byte[] body) {
        return new RequestFingerprint(
                Hashing.xxh3_64()
                        .hashStream()
                        .putString(service)
                        .putString(account)
                        .putString(method)
                        .putString(target)
                        .putByteArray(body)
                        .getAsLong());
    }

    /** Returns the handle in hexadecimal, as in log events. */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(handle);
    }
}
