package io.mustardusher.lab.cluster;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import io.mustardusher.ctl.MusherCtl;
import io.mustardusher.lab.standin.StoreFault;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static com.google.common.truth.Truth.assertThat;

class MusherCtlTest {

    private static final SmallCluster CLUSTER = new SmallCluster();

    @TempDir
    private Path folder;

    @BeforeAll
    static void start() {
        CLUSTER.start();
    }

    @AfterAll
    static void stop() {
        CLUSTER.close();
    }

    @Test
    void entriesAreListed() {
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "list");
        assertThat(result.exit()).isEqualTo(0);
        assertThat(result.text()).contains("ledger");
    }

    @Test
    void entryIsPutShownAndRemoved() throws IOException {
        String file = file("{ // new\n\"service\": \"vault\", \"owner\": \"o\", \"class\": \"background\"}");
        assertThat(CLUSTER.cluster.ctl("catalogue", "put", file).exit()).isEqualTo(0);
        SmallCluster.await(
                () -> CLUSTER.cluster.ctl("catalogue", "get", "vault").exit() == 0);
        assertThat(CLUSTER.cluster.ctl("catalogue", "remove", "vault").exit()).isEqualTo(0);
        SmallCluster.await(
                () -> CLUSTER.cluster.ctl("catalogue", "get", "vault").exit() == 1);
    }

    @Test
    void invalidEntryIsRefusedBeforeAnyNodeIsAsked() throws IOException {
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "put", file("{\"service\": \"Vault\"}"));
        assertThat(result.exit()).isEqualTo(1);
        assertThat(result.text()).contains("4001");
        assertThat(result.text()).contains("owner");
    }

    @Test
    void staleRevisionIsRefusedWithWhatWon() throws IOException {
        String file = file("{\"service\": \"ledger\", \"owner\": \"o\", \"class\": \"critical\"}");
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "put", file, "--if-revision", "0");
        assertThat(result.exit()).isEqualTo(1);
        assertThat(result.text()).contains("4002");
        assertThat(result.text()).contains("reads");
    }

    @Test
    void unknownChangeIsSettledForGood() throws IOException {
        assertThat(CLUSTER.cluster.ctl("catalogue", "status", "change-unknown").text())
                .contains("4005");
        String file = file("{\"service\": \"other\", \"owner\": \"o\", \"class\": \"critical\"}");
        Cluster.CommandResult late = CLUSTER.cluster.ctl("catalogue", "put", file, "--change", "change-unknown");
        assertThat(late.exit()).isEqualTo(1);
        assertThat(late.text()).contains("4005");
    }

    @Test
    void lostAnswerIsResolved() throws IOException {
        String file = file("{\"service\": \"lost\", \"owner\": \"o\", \"class\": \"critical\"}");
        CLUSTER.cluster.platform().setFault(StoreFault.LOSE_ANSWERS);
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "put", file, "--change", "change-lost");
        CLUSTER.cluster.platform().setFault(StoreFault.NONE);
        assertThat(result.exit()).isEqualTo(0);
        assertThat(CLUSTER.cluster.ctl("catalogue", "status", "change-lost").exit())
                .isEqualTo(0);
    }

    @Test
    void spreadIsCountedForEachFailureDomain() {
        Cluster.CommandResult result = CLUSTER.cluster.ctl("catalogue", "status", "--output", "json");
        assertThat(result.text()).contains("\"r/a\"");
        assertThat(result.text()).contains("\"r/c\"");
    }

    @Test
    void choiceIsExplained() {
        assertThat(CLUSTER.cluster.ctl("explain", "ledger").text()).contains("mustardusher chooses ledger-");
        assertThat(CLUSTER.cluster.ctl("explain", "nothing").exit()).isEqualTo(1);
    }

    @Test
    void nodesAndServersAreListed() {
        assertThat(CLUSTER.cluster.ctl("nodes").text()).contains("alive");
        assertThat(CLUSTER.cluster.ctl("servers").text()).contains("ledger-3");
    }

    @Test
    void unreachableNodeHasItsOwnExitCode() {
        CommandLine command = MusherCtl.commandLine();
        command.setErr(new PrintWriter(new StringWriter()));
        int exit = command.execute("nodes", "--node", "http://127.0.0.1:1", "--credential", "x");
        assertThat(exit).isEqualTo(4);
    }

    private String file(String entry) throws IOException {
        Path file = folder.resolve("entry.jsonc");
        Files.writeString(file, entry);
        return file.toString();
    }
}
