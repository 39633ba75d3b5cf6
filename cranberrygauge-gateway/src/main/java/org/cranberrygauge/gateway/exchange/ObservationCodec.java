package org.cranberrygauge.gateway.exchange;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.decision.quarantine.QuarantineObservation;
import org.cranberrygauge.decision.quarantine.RequestFingerprint;

/**
 * Encodes observations of suspects as the texts of a report.
 *
 * <p>The parts of a text are separated by spaces: {@code crashed FINGERPRINT RUN_MILLIS AGE_MILLIS SERVER}, {@code
 * cleared FINGERPRINT AGE_MILLIS} or {@code running FINGERPRINT SERVER}. A text that cannot be parsed is ignored, so
 * that newer peers may send more kinds. Stateless and safe for use by several threads.
 */
final class ObservationCodec {

    private static final String CRASHED = "crashed";

    private static final String CLEARED = "cleared";

    private static final String RUNNING = "running";

    private ObservationCodec() {}

    static List<String> write(List<QuarantineObservation> observations) {
        return observations.stream().map(ObservationCodec::write).toList();
    }

    /**
     * Decodes the texts that can be parsed.
     *
     * @param texts The texts; null is treated as empty.
     */
    static List<QuarantineObservation> read(List<String> texts) {
        List<QuarantineObservation> observations = new ArrayList<>();
        for (String text : texts == null ? List.<String>of() : texts) {
            try {
                QuarantineObservation observation = read(text.split(" ", -1));
                if (observation != null) {
                    observations.add(observation);
                }
            } catch (NumberFormatException exception) {
                continue;
            }
        }
        return observations;
    }

    private static String write(QuarantineObservation observation) {
        String fingerprint = observation.fingerprint().hexadecimal();
        if (observation instanceof QuarantineObservation.Crashed crashed) {
            return String.join(
                    " ",
                    CRASHED,
                    fingerprint,
                    String.valueOf(crashed.runMillis()),
                    String.valueOf(crashed.ageMillis()),
                    crashed.server());
        }
        if (observation instanceof QuarantineObservation.Cleared cleared) {
            return String.join(" ", CLEARED, fingerprint, String.valueOf(cleared.ageMillis()));
        }
        return String.join(" ", RUNNING, fingerprint, ((QuarantineObservation.Running) observation).server());
    }

    /**
     * Decodes the parts of a text.
     *
     * @return The observation, or null if its kind is unknown.
     */
    private static QuarantineObservation read(String... parts) {
        if (parts.length == 5 && parts[0].equals(CRASHED)) {
            return new QuarantineObservation.Crashed(
                    new RequestFingerprint(parts[1]), parts[4], Long.parseLong(parts[2]), Long.parseLong(parts[3]));
        }
        if (parts.length == 3 && parts[0].equals(CLEARED)) {
            return new QuarantineObservation.Cleared(new RequestFingerprint(parts[1]), Long.parseLong(parts[2]));
        }
        if (parts.length == 3 && parts[0].equals(RUNNING)) {
            return new QuarantineObservation.Running(new RequestFingerprint(parts[1]), parts[2]);
        }
        return null;
    }
}
