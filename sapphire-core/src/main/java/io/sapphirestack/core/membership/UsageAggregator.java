package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.AccountUsageTable;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * Sums the usage of client accounts over the dissemination tree, in which each instance sends to
 * each neighbour the sum of its own usage and of what the other neighbours sent. Accounts are
 * identified by their {@link AccountUsageTable#handleOf handle}. Not thread-safe.
 */
public final class UsageAggregator
        extends AbstractTreeAggregator<AccountUsage, Map<Integer, UsageAggregator.SentEntry>> {
    /** Shortest interval between two updates of an account far below its limit, in milliseconds. */
    public static final long RELAXED_INTERVAL_MS = 2_000;

    /**
     * Interval between two updates of an account far below its limit, in milliseconds per account
     * in the table. It bounds the traffic of these accounts to 0.5 KB/s per edge and direction.
     */
    private static final long RELAXED_MS_PER_ACCOUNT = 20;

    /** Interval between two updates of an account near its limit, in milliseconds. */
    public static final long URGENT_INTERVAL_MS = 200;

    /**
     * Up to this number of accounts, all are sent at the urgent interval, because their traffic is
     * small.
     */
    public static final int MAX_URGENT_ACCOUNTS = 100;

    /** Encoded entry that was last sent for an account, with the time of sending. */
    record SentEntry(byte[] entry, long sentAtMs) {}

    @Override
    AccountUsage read(ByteBuffer in) {
        return new AccountUsage(
                Short.toUnsignedInt(in.getShort()),
                decodeRate(in.getShort()),
                decodeRate(in.getShort()));
    }

    @Override
    boolean isNone(AccountUsage usage) {
        return usage.equals(AccountUsage.NONE);
    }

    @Override
    AccountUsage add(AccountUsage one, AccountUsage other) {
        return one.plus(other);
    }

    /** Returns the usage at all other instances, as far as the neighbours have sent it. */
    public AccountUsageTable others() {
        return new AccountUsageTable(sumExcept(null));
    }

    /**
     * Encodes the entries that are due for a neighbour, and records them as sent. An entry is due
     * if it was never sent, or has changed and the update interval of its account has passed. The
     * message has a first byte that tells whether it replaces all entries at the receiver, and 10
     * bytes per entry.
     *
     * @param neighbour instance to which the message is sent
     * @param local usage at this instance
     * @param urgent predicate that tells by handle whether an account is near its limit
     * @param probe whether to send a message even without changes, so that a neighbour that has
     *     lost its entries can ask for a full message
     * @param nowMs current time on the monotonic clock, in milliseconds
     * @return message, or an empty array if there is nothing to send
     */
    public byte[] encodeFor(
            InstanceId neighbour,
            AccountUsageTable local,
            IntPredicate urgent,
            boolean probe,
            long nowMs) {
        Map<Integer, AccountUsage> sums = sumExcept(neighbour);
        local.byHandle().forEach((h, usage) -> sums.merge(h, usage, AccountUsage::plus));
        boolean full = !lastSent().containsKey(neighbour);
        Map<Integer, SentEntry> previous =
                lastSent().computeIfAbsent(neighbour, id -> new HashMap<>());
        Set<Integer> handles = new HashSet<>(sums.keySet());
        handles.addAll(previous.keySet());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(full ? FULL : CHANGES);
        boolean allUrgent = handles.size() <= MAX_URGENT_ACCOUNTS;
        long relaxedMs = Math.max(RELAXED_INTERVAL_MS, RELAXED_MS_PER_ACCOUNT * handles.size());
        for (int handle : handles) {
            SentEntry last = previous.get(handle);
            long intervalMs = allUrgent || urgent.test(handle) ? URGENT_INTERVAL_MS : relaxedMs;
            if (last != null && nowMs - last.sentAtMs() < intervalMs) {
                continue;
            }
            AccountUsage usage = sums.getOrDefault(handle, AccountUsage.NONE);
            byte[] entry = encode(handle, usage);
            if (last == null || !Arrays.equals(last.entry(), entry)) {
                bytes.writeBytes(entry);
                previous.put(handle, new SentEntry(entry, nowMs));
            }
            if (!sums.containsKey(handle)) {
                previous.remove(handle);
            }
        }
        return bytes.size() > 1 || full || probe ? bytes.toByteArray() : new byte[0];
    }

    private static byte[] encode(int handle, AccountUsage usage) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(10);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(handle);
            out.writeShort(Math.min(0xffff, Math.max(0, usage.concurrent())));
            out.writeShort(encodeRate(usage.admittedPerS()));
            out.writeShort(encodeRate(usage.demandPerS()));
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory does not fail", e);
        }
        return bytes.toByteArray();
    }

    /** Encodes a rate in tenths per second; a rate above 6,553.5 is encoded as 6,553.5. */
    private static int encodeRate(double perS) {
        return (int) Math.min(0xffff, Math.round(Math.max(0, perS) * 10));
    }

    private static double decodeRate(short encoded) {
        return Short.toUnsignedInt(encoded) / 10.0;
    }
}
