package io.mustardusher.log;

import java.time.Instant;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.Layout;
import ch.qos.logback.core.LayoutBase;
import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Formats each event as one line. Control characters are escaped, so that an event never spans several lines. */
public final class LineLayout extends LayoutBase<ILoggingEvent> {

    private static final String PROJECT_CODE = "MUSH";
    private static final String SEPARATOR = ": ";
    private static final int NUMBER_START = PROJECT_CODE.length();
    private static final int NUMBER_END = NUMBER_START + 4;
    private static final int TEXT_START = NUMBER_END + SEPARATOR.length();
    private static final long MILLIS_PER_SECOND = 1_000;

    private final boolean json;
    private long formattedSecond = Long.MIN_VALUE;
    private String formattedPrefix;

    private LineLayout(boolean json) {
        this.json = json;
    }

    /**
     * Creates and starts a layout.
     *
     * @param format {@code json} for a JSON object per line; otherwise lines are text
     * @return the layout
     */
    public static Layout<ILoggingEvent> of(String format) {
        LineLayout layout = new LineLayout("json".equals(format));
        layout.start();
        return layout;
    }

    @Override
    public String doLayout(ILoggingEvent event) {
        String message = event.getFormattedMessage();
        boolean numbered = isNumbered(message);
        String number = numbered ? message.substring(NUMBER_START, NUMBER_END) : "0000";
        String text = escape((numbered ? message.substring(TEXT_START) : message) + failureOf(event));
        String time = format(event.getTimeStamp());
        if (!json) {
            return time + " " + event.getLevel() + " MUSH" + number + " " + text + "\n";
        }
        return "{\"time\":\"" + time + "\",\"level\":\"" + event.getLevel() + "\",\"event\":" + Integer.parseInt(number)
                + ",\"logger\":\"" + event.getLoggerName() + "\",\"text\":\"" + text + "\"}\n";
    }

    // Without its stack, since an event is one line.
    private static String failureOf(ILoggingEvent event) {
        IThrowableProxy failure = event.getThrowableProxy();
        return failure == null ? "" : SEPARATOR + failure.getClassName() + SEPARATOR + failure.getMessage();
    }

    // The message logger puts the project code and the number of the event before the text.
    private static boolean isNumbered(String message) {
        if (!message.startsWith(PROJECT_CODE) || !message.startsWith(SEPARATOR, NUMBER_END)) {
            return false;
        }
        for (int i = NUMBER_START; i < NUMBER_END; i++) {
            if (message.charAt(i) < '0' || message.charAt(i) > '9') {
                return false;
            }
        }
        return true;
    }

    private static String escape(String text) {
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            if (character < ' ' || character > '~' || character == '"' || character == '\\') {
                return new String(JsonStringEncoder.getInstance().quoteAsString(text));
            }
        }
        return text;
    }

    // Lines of the same second share all but the milliseconds.
    private synchronized String format(long epochMillis) {
        long second = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
        if (second != formattedSecond) {
            String whole = Instant.ofEpochSecond(second).toString();
            formattedPrefix = whole.substring(0, whole.length() - 1);
            formattedSecond = second;
        }
        int millis = (int) Math.floorMod(epochMillis, MILLIS_PER_SECOND);
        String padding = millis < 10 ? "00" : millis < 100 ? "0" : "";
        return formattedPrefix + "." + padding + millis + "Z";
    }
}
