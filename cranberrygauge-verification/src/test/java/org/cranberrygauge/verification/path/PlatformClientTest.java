package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PlatformClientTest {

    private static final int THREADS = 8;

    private static final int CALLS = 1_000;

    @Test
    void completesConcurrentCallsFromOtherThreads() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try (InProcessDeployment deployment =
                new InProcessDeployment(InProcessDeployment.DeploymentOptions.of(1, 1, 0))) {
            List<Future<Integer>> results = new ArrayList<>();
            for (int thread = 0; thread < THREADS; thread++) {
                results.add(threads.submit(() -> {
                    for (int call = 0; call < CALLS; call++) {
                        deployment.appendRaw("no entry");
                    }
                    return CALLS;
                }));
            }
            for (Future<Integer> result : results) {
                assertThat(result.get(60, TimeUnit.SECONDS)).isEqualTo(CALLS);
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
