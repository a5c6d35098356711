package io.sapphirestack.core.trust;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Creates and verifies salted hashes of bearer keys. The text form of a hash is {@code
 * sha256$SALT$DIGEST}, where SALT and DIGEST are in hexadecimal digits and DIGEST is the SHA-256
 * digest of the salt followed by the key in UTF-8.
 */
public final class KeyHash {

    private static final String ALGORITHM = "sha256";

    private KeyHash() {}

    /**
     * Hashes a key.
     *
     * @param key bearer key
     * @param salt random bytes, any number
     * @return text form of the hash
     */
    public static String create(String key, byte[] salt) {
        return ALGORITHM
                + "$"
                + HexFormat.of().formatHex(salt)
                + "$"
                + HexFormat.of().formatHex(digest(key, salt));
    }

    /**
     * Verifies a key against a hash. The digests are compared in constant time.
     *
     * @param hash text form of the hash
     * @param key bearer key
     * @return whether the key matches; {@code false} if the hash is malformed
     */
    public static boolean matches(String hash, String key) {
        String[] parts = hash.split("\\$");
        if (parts.length != 3 || !parts[0].equals(ALGORITHM)) {
            return false;
        }
        try {
            byte[] salt = HexFormat.of().parseHex(parts[1]);
            return MessageDigest.isEqual(HexFormat.of().parseHex(parts[2]), digest(key, salt));
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static byte[] digest(String key, byte[] salt) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(salt);
            return sha256.digest(key.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform supports SHA-256", e);
        }
    }
}
