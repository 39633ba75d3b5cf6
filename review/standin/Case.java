package standin;

import java.io.IOException;
import java.nio.file.Path;

/** Runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
public interface Case {

    int COULD_NOT_RUN = 2;

    /**
     * Runs the case.
     *
     * @param repository The folder with the deploy file.
     * @param trouble The value of the environment variable TROUBLE: "0" leaves the disruption out.
     * @return 1 if the rule was broken, 0 if it held.
     */
    int run(Path repository, Record record, String trouble) throws Exception;

    /** @param folder The folder of the case, two below the repository. */
    static void main(String folder, Case body) {
        System.exit(status(Path.of(folder).toAbsolutePath().normalize(), body));
    }

    private static int status(Path folder, Case body) {
        try {
            Record record = new Record(folder.resolve("record.txt"));
            int status = COULD_NOT_RUN;
            try {
                status = body.run(
                        folder.getParent().getParent(), record, System.getenv().getOrDefault("TROUBLE", "1"));
            } catch (Exception | Error failure) {
                record.line("the case could not run: " + failure);
            }
            record.line("exit status " + status);
            return status;
        } catch (IOException exception) {
            System.err.println("the record can't be written: " + exception.getMessage());
            return COULD_NOT_RUN;
        }
    }
}
