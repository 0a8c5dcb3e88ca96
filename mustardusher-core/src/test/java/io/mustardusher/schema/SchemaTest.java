package io.mustardusher.schema;

import io.mustardusher.generated.EntryDocument;
import io.mustardusher.result.MustardusherException;
import io.mustardusher.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SchemaTest {

    @Test
    void commentsAreAccepted() {
        EntryDocument entry = Schema.ENTRY.read(
                "{ // a clip server\n\"service\": \"clips\", \"owner\": \"o\", \"class\": \"standard\"}");
        assertThat(entry.getDeadlineMillis()).isEqualTo(2000);
    }

    @Test
    void unknownFieldIsRejectedWithItsName() {
        MustardusherException exception = assertThrows(
                MustardusherException.class,
                () -> Schema.ENTRY.read(
                        "{\"service\": \"clips\", \"owner\": \"o\", \"class\": \"standard\", \"colour\": 1}"));
        assertThat(exception.code()).isEqualTo(ResultCode.ENTRY_INVALID);
        assertThat(exception).hasMessageThat().contains("colour");
    }

    @Test
    void messageNamesEveryInvalidField() {
        MustardusherException exception = assertThrows(
                MustardusherException.class,
                () -> Schema.ENTRY.read("{\"service\": \"Clips!\", \"class\": \"urgent\"}"));
        assertThat(exception).hasMessageThat().contains("service");
        assertThat(exception).hasMessageThat().contains("class");
        assertThat(exception).hasMessageThat().contains("owner");
    }

    // Guards against a document that is reported as an internal failure because of one number.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "1e999999999",
                "-1e999999999",
                "1e400",
                "99999999999999999999",
                "-4",
                "0",
                "70000",
                "2.5",
                "\"\"",
                "\"\\u0000\"",
                "null",
                "[]",
                "{}"
            })
    void numberOutOfRangeIsRejected(String number) {
        String huge = "7".repeat(400);
        for (String port : new String[] {number, huge, "7" + huge + huge, "-" + huge, "1" + huge + ".5"}) {
            String text =
                    """
                    {"service": "s", "host": "127.0.0.1", "port": %s, "slots": 4, "connections": 9, "state": "serving"}
                    """
                            .formatted(port);
            MustardusherException thrown =
                    assertThrows(MustardusherException.class, () -> Schema.ANNOUNCEMENT.read(text));
            assertThat(thrown.code()).isEqualTo(ResultCode.REQUEST_MALFORMED);
        }
    }

    @Test
    void duplicateKeyIsRejected() {
        assertThrows(
                MustardusherException.class,
                () -> Schema.ENTRY.read(
                        "{\"service\": \"a\", \"service\": \"b\", \"owner\": \"o\", \"class\": \"standard\"}"));
    }
}
