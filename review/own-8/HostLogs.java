import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import standin.Deployment;

/** Counts the lines of the hosts' logs that name the cause of a failure, and keeps the logs. */
final class HostLogs {

    private static final Pattern ATTEMPT_FAILED =
            Pattern.compile("event=attempt_failed .*outcome=(\\S+) detail=(\"(?:[^\"\\\\]|\\\\.)*\"|\\S+)");

    private static final Pattern MESSAGE = Pattern.compile("level=(ERROR|WARN|WARNING) (.*)");

    private final Map<String, Integer> counts = new TreeMap<>();

    /** Reads the logs, and keeps copies of them in a folder. */
    static HostLogs read(List<Deployment.Machine> machines, Path folder) throws IOException {
        Files.createDirectories(folder);
        HostLogs logs = new HostLogs();
        for (Deployment.Machine machine : machines) {
            String log = machine.log();
            Files.writeString(folder.resolve(machine.name + ".log"), log);
            log.lines().forEach(logs::count);
        }
        return logs;
    }

    /** Returns one line for each cause, the most frequent first. */
    List<String> lines() {
        return counts.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .map(entry -> String.format("%6d %s", entry.getValue(), entry.getKey()))
                .toList();
    }

    private void count(String line) {
        Matcher failed = ATTEMPT_FAILED.matcher(line);
        Matcher message = MESSAGE.matcher(line);
        if (failed.find()) {
            add("attempt_failed " + failed.group(1) + " " + generalise(failed.group(2)));
        } else if (message.find()) {
            add(message.group(1) + " " + generalise(message.group(2)));
        }
    }

    private void add(String cause) {
        counts.merge(cause, 1, Integer::sum);
    }

    /** Replaces what differs from line to line. */
    private static String generalise(String text) {
        return text.replaceAll("'[^']*('|$)", "'#'")
                .replaceAll("index [0-9]+", "index #")
                .replaceAll("0x[0-9a-f]+", "0x#")
                .replaceAll("(invalid version format: |For input string: |prohibited characters: ).*", "$1#")
                .replaceAll("[0-9]+\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]+", "#")
                .replaceAll("\\[.*\\]", "[#]");
    }
}
