package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.InstanceId;
import io.sapphirestack.core.limit.AccountUsage;
import io.sapphirestack.core.limit.UsageTable;
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

/** Sums account usage over the dissemination tree. Not thread-safe. */
public final class UsageAggregator
        extends AbstractTreeAggregator<AccountUsage, Map<Integer, UsageAggregator.Sent>> {
    /** Accounts far below their limit are sent at most this often, in milliseconds. */
    public static final long RELAXED_INTERVAL_MS = 2_000;

    /**
     * Interval per account for accounts far below their limit. It bounds their traffic to 0.5 KB/s
     * per edge and direction, whatever the number of accounts.
     */
    private static final long RELAXED_MS_PER_ACCOUNT = 20;

    /** Accounts near their limit are sent this often, in milliseconds. */
    public static final long URGENT_INTERVAL_MS = 200;

    /** Up to this many accounts are all sent at the urgent interval; the traffic is small then. */
    public static final int MAX_URGENT_ACCOUNTS = 100;

    record Sent(byte[] entry, long atMs) {}

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

    /** Returns the use at all other instances. */
    public UsageTable others() {
        return new UsageTable(sumExcept(null));
    }

    /**
     * Encodes the entries that a neighbour has to get now: 10 bytes each.
     *
     * @param neighbour neighbour
     * @param local use at this instance
     * @param urgent tells by short name whether an account is near its limit
     * @param probe whether to send a message without changes too, so that the neighbour can tell
     *     that it lost what it had
     * @param nowMs current time on the monotonic clock
     * @return message, empty if there is nothing to send
     */
    public byte[] encodeFor(
            InstanceId neighbour,
            UsageTable local,
            IntPredicate urgent,
            boolean probe,
            long nowMs) {
        Map<Integer, AccountUsage> sums = sumExcept(neighbour);
        local.byHandle().forEach((h, usage) -> sums.merge(h, usage, AccountUsage::plus));
        boolean full = !sent().containsKey(neighbour);
        Map<Integer, Sent> before = sent().computeIfAbsent(neighbour, id -> new HashMap<>());
        Set<Integer> handles = new HashSet<>(sums.keySet());
        handles.addAll(before.keySet());
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(full ? FULL : CHANGES);
        boolean few = handles.size() <= MAX_URGENT_ACCOUNTS;
        long relaxedMs = Math.max(RELAXED_INTERVAL_MS, RELAXED_MS_PER_ACCOUNT * handles.size());
        for (int handle : handles) {
            Sent last = before.get(handle);
            long intervalMs = few || urgent.test(handle) ? URGENT_INTERVAL_MS : relaxedMs;
            if (last != null && nowMs - last.atMs() < intervalMs) {
                continue;
            }
            AccountUsage usage = sums.getOrDefault(handle, AccountUsage.NONE);
            byte[] entry = encode(handle, usage);
            if (last == null || !Arrays.equals(last.entry(), entry)) {
                bytes.writeBytes(entry);
                before.put(handle, new Sent(entry, nowMs));
            }
            if (!sums.containsKey(handle)) {
                before.remove(handle);
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

    /** Tenths per second up to 6,553; higher rates are cut off. */
    private static int encodeRate(double perS) {
        return (int) Math.min(0xffff, Math.round(Math.max(0, perS) * 10));
    }

    private static double decodeRate(short encoded) {
        return Short.toUnsignedInt(encoded) / 10.0;
    }
}
