package io.sapphirestack.core.membership;

import io.sapphirestack.core.id.EndpointId;
import io.sapphirestack.core.record.ModelPin;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;

/**
 * Binary format of batches of endpoint reports. A load-only report takes 8 bytes if the endpoint
 * queues only when its slots are full: 4 for the handle, 2 for the low bits of the sequence, 1 for
 * the age, and 1 for the sum of running and queued. This short form omits the output rate;
 * receivers keep the last known one, because routing does not use it.
 */
public final class ReportCodec {
    private static final int FORM_LOAD = 0;
    private static final int FORM_LOAD_LONG = 1;
    private static final int FORM_FULL = 2;
    private static final int FORM_BITS = 2;

    /**
     * Model name of the entry that carries the version of the endpoint's software at the end of the
     * models. No model has an empty name, so earlier builds keep the entry as a model that is never
     * requested, and pass it on unchanged.
     */
    private static final String VERSION_ENTRY = "";

    /**
     * Unit of the age on the wire; the largest age of 255 units is just above the expiry of an
     * endpoint.
     */
    private static final long AGE_UNIT_MS = 40;

    /** Steps per doubling of the output rate on the wire; the error is at most 9%. */
    private static final double RATE_STEPS = 8;

    private ReportCodec() {}

    /**
     * Result of decoding a batch.
     *
     * @param reports decoded reports
     * @param missing handles of load-only reports whose endpoint is unknown to the resolver
     */
    public record Decoded(List<EndpointReport> reports, List<Integer> missing) {}

    /**
     * Encodes reports. They are grouped by form, so that the form takes one byte per group instead
     * of one per report.
     *
     * @param reports reports to send
     * @return encoded batch
     */
    public static byte[] encode(Collection<EndpointReport> reports) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(16 + reports.size() * 12);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            for (int form = FORM_LOAD; form <= FORM_FULL; form++) {
                List<EndpointReport> group = new ArrayList<>();
                for (EndpointReport report : reports) {
                    if (formOf(report) == form) {
                        group.add(report);
                    }
                }
                if (!group.isEmpty()) {
                    writeVarint(out, ((long) group.size() << FORM_BITS) | form);
                    for (EndpointReport report : group) {
                        write(out, report, form);
                    }
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory does not fail", e);
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes reports.
     *
     * @param encoded encoded batch
     * @param resolver returns the endpoint with a handle, or null if it is unknown
     * @return reports, and the handles that the resolver does not know
     * @throws IllegalArgumentException if the bytes are truncated or malformed
     */
    public static Decoded decode(byte[] encoded, IntFunction<MergedEndpointState> resolver) {
        ByteBuffer in = ByteBuffer.wrap(encoded);
        List<EndpointReport> reports = new ArrayList<>();
        List<Integer> missing = new ArrayList<>();
        try {
            while (in.hasRemaining()) {
                long header = readVarint(in);
                int form = (int) header & ((1 << FORM_BITS) - 1);
                for (long i = header >>> FORM_BITS; i > 0; i--) {
                    if (form == FORM_FULL) {
                        reports.add(readFull(in));
                    } else {
                        readLoadOnly(in, form, resolver, reports, missing);
                    }
                }
            }
        } catch (BufferUnderflowException e) {
            throw new IllegalArgumentException(
                    "truncated batch of " + encoded.length + " bytes", e);
        }
        return new Decoded(reports, missing);
    }

    private static int formOf(EndpointReport report) {
        if (!report.isLoadOnly()) {
            return FORM_FULL;
        }
        EndpointLoad load = report.load();
        boolean splittable =
                load.equals(split(load.running() + load.queued(), load.slots(), load.tokensPerS()));
        return splittable && report.cacheEvents().isEmpty() ? FORM_LOAD : FORM_LOAD_LONG;
    }

    /**
     * Splits the sum of running and queued requests for an endpoint that queues only when its slots
     * are full.
     */
    private static EndpointLoad split(int total, int slots, double tokensPerS) {
        int running = slots > 0 ? Math.min(total, slots) : total;
        return new EndpointLoad(running, total - running, slots, tokensPerS);
    }

    private static void write(DataOutputStream out, EndpointReport report, int form)
            throws IOException {
        if (form == FORM_FULL) {
            writeString(out, report.id().value());
            out.writeLong(report.epochMs());
            writeVarint(out, report.sequence());
            writeVarint(out, report.detailsSequence());
            writeDetails(out, report.details().orElseThrow());
        } else {
            out.writeInt(MergedEndpointState.handleOf(report.id(), report.epochMs()));
            out.writeShort((int) report.sequence());
        }
        out.writeByte(
                (int) Math.min(255, (Math.max(0, report.ageMs()) + AGE_UNIT_MS / 2) / AGE_UNIT_MS));
        EndpointLoad load = report.load();
        if (form == FORM_LOAD) {
            writeVarint(out, load.running() + load.queued());
        } else {
            writeVarint(out, load.running());
            writeVarint(out, load.queued());
            out.writeByte(encodeRate(load.tokensPerS()));
            writeVarint(out, report.cacheEvents().size());
            for (CacheEvent event : report.cacheEvents()) {
                // The flag replaces the lowest bit of the hash, which saves a byte per event.
                out.writeLong((event.blockHash() & ~1L) | (event.stored() ? 1 : 0));
            }
        }
    }

    private static void readLoadOnly(
            ByteBuffer in,
            int form,
            IntFunction<MergedEndpointState> resolver,
            List<EndpointReport> reports,
            List<Integer> missing) {
        int handle = in.getInt();
        short lowSequence = in.getShort();
        long ageMs = (in.get() & 0xff) * AGE_UNIT_MS;
        int running = (int) readVarint(in);
        int queued = form == FORM_LOAD ? 0 : (int) readVarint(in);
        double rate = form == FORM_LOAD ? 0 : decodeRate(in.get());
        List<CacheEvent> events = form == FORM_LOAD ? List.of() : readEvents(in);
        MergedEndpointState known = resolver.apply(handle);
        if (known == null) {
            missing.add(handle);
            return;
        }
        long sequence = known.sequence() + (short) (lowSequence - (short) known.sequence());
        reports.add(
                new EndpointReport(
                        known.id(),
                        known.epochMs(),
                        sequence,
                        Math.min(sequence, known.detailsSequence()),
                        ageMs,
                        form == FORM_LOAD
                                ? split(running, known.details().slots(), known.load().tokensPerS())
                                : new EndpointLoad(running, queued, known.details().slots(), rate),
                        Optional.empty(),
                        events));
    }

    private static EndpointReport readFull(ByteBuffer in) {
        EndpointId id = EndpointId.of(readString(in));
        long epochMs = in.getLong();
        long sequence = readVarint(in);
        long detailsSequence = readVarint(in);
        EndpointDetails details = readDetails(in);
        long ageMs = (in.get() & 0xff) * AGE_UNIT_MS;
        EndpointLoad load =
                new EndpointLoad(
                        (int) readVarint(in),
                        (int) readVarint(in),
                        details.slots(),
                        decodeRate(in.get()));
        return new EndpointReport(
                id,
                epochMs,
                sequence,
                detailsSequence,
                ageMs,
                load,
                Optional.of(details),
                readEvents(in));
    }

    private static List<CacheEvent> readEvents(ByteBuffer in) {
        List<CacheEvent> events = new ArrayList<>();
        for (long n = readVarint(in); n > 0; n--) {
            long bits = in.getLong();
            events.add(CacheEvent.of(bits & ~1L, (bits & 1) != 0));
        }
        return events;
    }

    private static void writeDetails(DataOutputStream out, EndpointDetails details)
            throws IOException {
        writeString(out, details.service());
        writeString(out, details.address());
        writeString(out, details.availabilityZone());
        writeVarint(out, details.slots());
        writeVarint(out, details.phase().ordinal());
        List<ModelPin> entries = new ArrayList<>(details.models());
        if (!details.version().isEmpty()) {
            entries.add(new ModelPin(VERSION_ENTRY, "", details.version()));
        }
        writeVarint(out, entries.size());
        for (ModelPin pin : entries) {
            writeString(out, pin.model());
            writeString(out, pin.adapter());
            writeString(out, pin.version());
        }
    }

    private static EndpointDetails readDetails(ByteBuffer in) {
        String service = readString(in);
        String address = readString(in);
        String availabilityZone = readString(in);
        int slots = (int) readVarint(in);
        EndpointPhase phase = EndpointPhase.ofOrdinal((int) readVarint(in));
        List<ModelPin> models = new ArrayList<>();
        for (long n = readVarint(in); n > 0; n--) {
            models.add(new ModelPin(readString(in), readString(in), readString(in)));
        }
        return new EndpointDetails(
                service, address, availabilityZone, models, slots, phase, removeVersion(models));
    }

    /** Removes the entry of the version from the models; returns the version, empty if unknown. */
    private static String removeVersion(List<ModelPin> models) {
        int last = models.size() - 1;
        boolean present = last >= 0 && models.get(last).model().equals(VERSION_ENTRY);
        return present ? models.remove(last).version() : "";
    }

    private static int encodeRate(double tokensPerS) {
        double steps = Math.log1p(Math.max(0, tokensPerS)) / Math.log(2) * RATE_STEPS;
        return (int) Math.min(255, Math.round(steps));
    }

    private static double decodeRate(byte encoded) {
        return Math.pow(2, (encoded & 0xff) / RATE_STEPS) - 1;
    }

    private static void writeString(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        writeVarint(out, bytes.length);
        out.write(bytes);
    }

    private static String readString(ByteBuffer in) {
        long length = readVarint(in);
        if (length < 0 || length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[(int) length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static void writeVarint(DataOutputStream out, long value) throws IOException {
        long remaining = value;
        while ((remaining & ~0x7fL) != 0) {
            out.writeByte((int) (remaining & 0x7f) | 0x80);
            remaining >>>= 7;
        }
        out.writeByte((int) remaining);
    }

    private static long readVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            byte b = in.get();
            value |= (b & 0x7fL) << shift;
            if (b >= 0) {
                return value;
            }
        }
        throw new IllegalArgumentException("varint is longer than 64 bits");
    }
}
