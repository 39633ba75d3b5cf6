import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * The settings of a run, read from the environment.
 *
 * @param share The share of the answers that are written once more, from 0 to 1.
 * @param errors The share of the runs that end with status 500, from 0 to 1.
 * @param rejections The share of the requests that a server rejects without running them, from 0 to 1.
 * @param once The share of the requests that must run at most once, from 0 to 1.
 * @param kept Whether callers keep their connections.
 * @param failuresAreWrong Whether a 502 or 504 of a host's own counts as a wrong answer.
 */
record MixedSettings(
        long seed,
        int hosts,
        int servers,
        int callers,
        int requests,
        double share,
        double errors,
        double rejections,
        double once,
        Cut cut,
        Moment moment,
        Framing framing,
        Names names,
        Set<Sound> sound,
        boolean kept,
        boolean failuresAreWrong) {

    /** Where the second copy of an answer, or the answer itself, breaks off. */
    enum Cut {
        /** The copy ends within its head. */
        HEAD,
        /** The copy ends at any byte. */
        ANYWHERE,
        /** The copy is whole. */
        WHOLE,
        /** The answer itself ends within its body, and a whole copy for the same request follows it. */
        BODY
    }

    /** When a copy is written. */
    enum Moment {
        /** A few milliseconds after the answer, while no request is in progress on the connection. */
        IDLE,
        /** Right before the next answer on the connection. */
        BEFORE,
        /** Either of the two. */
        MIXED
    }

    /** How the end of a successful answer is marked. */
    enum Framing {
        /** With the length of the body. */
        LENGTH,
        /** By chunks. */
        CHUNKED,
        /** By chunks, each of which holds an event of a stream. */
        STREAMS,
        /** Any of the three. */
        MIXED
    }

    /** Which responses name the request that they answer. */
    enum Names {
        /** The answers and their copies. */
        ALL,
        /** The answers, but not their copies. */
        ANSWERS,
        /** Neither of them. */
        NONE
    }

    /** What a sound server may do. */
    enum Sound {
        /** Writes a head in several packets. */
        PACKETS,
        /** Sends headers whose values hold the name of a protocol. */
        HEADERS,
        /** Sends a header whose value holds a whole status line. */
        STATUS,
        /** Writes whole answers once more. */
        EXTRA
    }

    /** Returns the settings; without trouble, servers do only what a sound one may do. */
    static MixedSettings read(boolean trouble) {
        Set<Sound> sound = sound(trouble ? "" : "packets,headers,status");
        boolean copies = trouble || sound.contains(Sound.EXTRA);
        return new MixedSettings(
                Long.parseLong(text("SEED", "1")),
                number("HOSTS", 2),
                number("SERVERS", 3),
                number("CALLERS", 60),
                number("REQUESTS", 60),
                copies ? share("SHARE", "0.33") : 0,
                share("ERRORS", "0.2"),
                share("REJECTIONS", "0.05"),
                share("ONCE", "0.1"),
                trouble ? Cut.valueOf(name("CUT", "HEAD")) : Cut.WHOLE,
                Moment.valueOf(name("MOMENT", "MIXED")),
                Framing.valueOf(name("FRAMING", "LENGTH")),
                Names.valueOf(name("NAMES", "ALL")),
                sound,
                text("KEPT", "1").equals("1"),
                text("FAILURES", trouble ? "allowed" : "wrong").equals("wrong"));
    }

    private static Set<Sound> sound(String otherwise) {
        Set<Sound> sound = EnumSet.noneOf(Sound.class);
        for (String each : text("SOUND", otherwise).split(",")) {
            if (!each.isBlank()) {
                sound.add(Sound.valueOf(each.trim().toUpperCase(Locale.ROOT)));
            }
        }
        return sound;
    }

    private static String text(String name, String otherwise) {
        return System.getenv().getOrDefault(name, otherwise);
    }

    private static String name(String name, String otherwise) {
        return text(name, otherwise).toUpperCase(Locale.ROOT);
    }

    private static int number(String name, int otherwise) {
        return Integer.parseInt(text(name, Integer.toString(otherwise)));
    }

    private static double share(String name, String otherwise) {
        return Double.parseDouble(text(name, otherwise));
    }
}
